#pragma once

#include <core/EnumNames.h>

namespace masticwall {

/** Whether a call that waits for its response gets a hedge, and if not, why. */
enum class HedgeVerdict
{
  Send,
  AttemptsUsed, ///< the route allows no further attempt
  TooLate,      ///< a second response is not expected before the deadline
  Suspect,      ///< the request may crash upstreams
  NoRoom,       ///< no other upstream has a slot free, or calls wait for one
  OverBudget,   ///< the operator's share, or the retries of the service, are used up
};

template<>
struct EnumTable<HedgeVerdict>
{
  static constexpr std::array<EnumName<HedgeVerdict>, 6> kEntries{ {
    { HedgeVerdict::Send, "sent" },
    { HedgeVerdict::AttemptsUsed, "attempts-used" },
    { HedgeVerdict::TooLate, "too-late" },
    { HedgeVerdict::Suspect, "suspect" },
    { HedgeVerdict::NoRoom, "no-room" },
    { HedgeVerdict::OverBudget, "over-budget" },
  } };
};

} // namespace masticwall
