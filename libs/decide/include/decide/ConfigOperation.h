#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall {

/** The operation of a configuration record. */
enum class ConfigOperation : std::uint8_t
{
  Publish,         ///< writes a section of a preset
  Switch,          ///< activates a preset
  SectionSnapshot, ///< repeats a section's record before it expires from the log
  SwitchSnapshot,  ///< likewise for the choice of the active preset
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
