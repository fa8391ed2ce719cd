#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall {

/** The stage of a call in its worker. */
enum class CallStage : std::uint8_t
{
  Waiting,       ///< for a slot or its claim, or between two attempts
  QueryingLoads, ///< has a slot; upstreams are queried for their load
  Sending,       ///< an exchange with an upstream is in progress
  AwaitingOrder, ///< another call or process runs the same order; waits for its outcome
  Settling,      ///< the caller got its response; the order's outcome is still awaited
};

template<>
struct EnumTable<CallStage>
{
  static constexpr std::array<EnumName<CallStage>, 5> kEntries{ {
    { CallStage::Waiting, "waiting" },
    { CallStage::QueryingLoads, "asking" },
    { CallStage::Sending, "sending" },
    { CallStage::AwaitingOrder, "watching" },
    { CallStage::Settling, "settling" },
  } };
};

} // namespace masticwall
