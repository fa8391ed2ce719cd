#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall {

/** What a configuration record does. */
enum class ConfigOperation : std::uint8_t
{
  Publish,         ///< sets a section
  Switch,          ///< puts a preset in force
  SectionSnapshot, ///< repeats a section before its record expires
  SwitchSnapshot,  ///< repeats the preset in force before its record expires
};

template<>
struct EnumTable<ConfigOperation>
{
  static constexpr std::array<EnumName<ConfigOperation>, 4> kEntries{ {
    { ConfigOperation::Publish, "publish" },
    { ConfigOperation::Switch, "switch" },
    { ConfigOperation::SectionSnapshot, "section-snapshot" },
    { ConfigOperation::SwitchSnapshot, "switch-snapshot" },
  } };
};

} // namespace masticwall
