#pragma once

#include <array>
#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall {

/** The result of looking up the idempotency key of an arriving order. */
enum class OrderKeyStatus : std::uint8_t
{
  NewKey,    ///< the key is new: the order must be claimed before it is sent
  Joined,    ///< the same order is in progress here: the waiter was added to it
  Recorded,  ///< the same order has ended here
  KeyReused, ///< the key belongs to a different order
};

/** External names, kept from release to release even if an enumerator is renamed. */
template<>
struct EnumTable<OrderKeyStatus>
{
  static constexpr std::array<EnumName<OrderKeyStatus>, 4> kEntries{ {
    { OrderKeyStatus::NewKey, "begun" },
    { OrderKeyStatus::Joined, "joined" },
    { OrderKeyStatus::Recorded, "recorded" },
    { OrderKeyStatus::KeyReused, "key-reused" },
  } };
};

} // namespace masticwall
