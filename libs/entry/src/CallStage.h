#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall {

/** How far a call has come in its worker. */
enum class CallStage : std::uint8_t
{
  Waiting,  ///< for a slot or its claim; nothing was sent
  Asking,   ///< it has a slot; upstreams are asked for their load
  Sending,  ///< an upstream has it
  Watching, ///< the same order is run elsewhere; its outcome is awaited
  Settling, ///< the caller has its answer; the order's outcome is still awaited
};

template<>
struct EnumTable<CallStage>
{
  static constexpr std::array<EnumName<CallStage>, 5> kEntries{ {
    { CallStage::Waiting, "waiting" },
    { CallStage::Asking, "asking" },
    { CallStage::Sending, "sending" },
    { CallStage::Watching, "watching" },
    { CallStage::Settling, "settling" },
  } };
};

} // namespace masticwall
