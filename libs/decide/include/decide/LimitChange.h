#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall {

/** What a response has changed about the request limit of its upstream. */
enum class LimitChange : std::uint8_t
{
  None, ///< or a difference too small to be reported
  Begun,
  Changed,
  Ended,
};

template<>
struct EnumTable<LimitChange>
{
  static constexpr std::array<EnumName<LimitChange>, 4> kEntries{ {
    { LimitChange::None, "none" },
    { LimitChange::Begun, "begun" },
    { LimitChange::Changed, "changed" },
    { LimitChange::Ended, "ended" },
  } };
};

} // namespace masticwall
