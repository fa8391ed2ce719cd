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

inline constexpr const char* kGeneralSection = "general";
inline constexpr const char* kServiceSectionPrefix = "service/";

} // namespace masticwall
