#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall {

/** The state of an order in the entry process that claimed it. */
enum class OrderState : std::uint8_t
{
  Claiming, ///< claiming or claimed, and not sent: may still end as NotRun
  Sent,     ///< part of it may have been sent: the upstream may run it
  Answered, ///< has run; the response is recorded
  NotRun,   ///< certainly not run: a retry is safe
  Unknown,  ///< may have run; no response is available
};

template<>
struct EnumTable<OrderState>
{
  static constexpr std::array<EnumName<OrderState>, 5> kEntries{ {
    { OrderState::Claiming, "claiming" },
    { OrderState::Sent, "sent" },
    { OrderState::Answered, "answered" },
    { OrderState::NotRun, "not-run" },
    { OrderState::Unknown, "unknown" },
  } };
};

/** True for the final states, where no outcome is pending. */
constexpr bool
isSettled(OrderState aState)
{
  return aState != OrderState::Claiming && aState != OrderState::Sent;
}

} // namespace masticwall
