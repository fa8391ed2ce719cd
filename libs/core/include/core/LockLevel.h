#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall {

/**
 * The one order in which shared tables are locked: a thread that holds a lock may take
 * only locks of a higher level. No lock is held over I/O.
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
  Statistics,
  Mailbox,
};

template<>
struct EnumTable<LockLevel>
{
  static constexpr std::array<EnumName<LockLevel>, 10> kEntries{ {
    { LockLevel::Preset, "preset" },
    { LockLevel::Membership, "membership" },
    { LockLevel::Config, "config" },
    { LockLevel::Claim, "claim" },
    { LockLevel::Admission, "admission" },
    { LockLevel::Upstream, "upstream" },
    { LockLevel::Order, "order" },
    { LockLevel::Suspect, "suspect" },
    { LockLevel::Statistics, "statistics" },
    { LockLevel::Mailbox, "mailbox" },
  } };
};

} // namespace masticwall
