#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall {

/** How far an order has come in the entry process that claimed it. */
enum class OrderState : std::uint8_t
{
  Claiming, ///< may still end as not run
  Sent,     ///< its first byte may have left
  Answered,
  NotRun,
  Unknown,
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

/** True once the order's outcome can no longer change. */
constexpr bool
isSettled(OrderState aState)
{
  return aState != OrderState::Claiming && aState != OrderState::Sent;
}

} // namespace masticwall
