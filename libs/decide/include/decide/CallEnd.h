#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall {

/** The outcome of one attempt at an upstream, as load balancing records it. */
enum class CallEnd : std::uint8_t
{
  Answered,    ///< a complete response without a 5xx status
  ErrorAnswer, ///< a complete response with a 5xx status
  Shed,        ///< the upstream rejected the call without running it
  Failed,      ///< connecting failed, or no complete response
  Cancelled,   ///< ended by this process; not counted for or against the upstream
};

template<>
struct EnumTable<CallEnd>
{
  static constexpr std::array<EnumName<CallEnd>, 5> kEntries{ {
    { CallEnd::Answered, "answered" },
    { CallEnd::ErrorAnswer, "error-answer" },
    { CallEnd::Shed, "shed" },
    { CallEnd::Failed, "failed" },
    { CallEnd::Cancelled, "cancelled" },
  } };
};

} // namespace masticwall
