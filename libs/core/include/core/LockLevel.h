#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall {

/**
 * The global lock order, lowest level first: a thread that holds a lock may acquire only
 * locks of a higher level. No lock is held during I/O. The levels up to Quota are those
 * of the tables in libs/tables, one table per level.
 */
enum class LockLevel : std::uint8_t
{
  Preset,
  Membership,
  Config,
  Claim,
  Admission,
  Upstream,
  Order,
  Suspect,
  Quota,
  Statistics, ///< call statistics and metric labels
  Log,        ///< rate limits and line queue of the event log
};

template<>
struct EnumTable<LockLevel>
{
  static constexpr std::array<EnumName<LockLevel>, 11> kEntries{ {
    { LockLevel::Preset, "preset" },
    { LockLevel::Membership, "membership" },
    { LockLevel::Config, "config" },
    { LockLevel::Claim, "claim" },
    { LockLevel::Admission, "admission" },
    { LockLevel::Upstream, "upstream" },
    { LockLevel::Order, "order" },
    { LockLevel::Suspect, "suspect" },
    { LockLevel::Quota, "quota" },
    { LockLevel::Statistics, "statistics" },
    { LockLevel::Log, "mailbox" }, // external name, kept for compatibility
  } };
};

} // namespace masticwall
