#pragma once

#include <compare>
#include <string>

namespace masticwall {

/** Identifies a section of a preset: "general", or "service/" and the service's name. */
struct SectionKey
{
  std::string preset;
  std::string section;

  auto operator<=>(const SectionKey&) const = default;
};

/** The section that every preset must have. */
inline constexpr const char* kGeneralSection = "general";
/** Goes before the service's name in the name of its section. */
inline constexpr const char* kServiceSectionPrefix = "service/";

} // namespace masticwall
