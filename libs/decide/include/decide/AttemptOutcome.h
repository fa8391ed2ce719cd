#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall {

/** The outcome of one attempt at an upstream, as load balancing records it. */
enum class AttemptOutcome : std::uint8_t
{
  Answered,      ///< a complete response without a 5xx status
  ErrorResponse, ///< a complete response with a 5xx status
  Shed,          ///< the upstream rejected the call without running it
  Failed,        ///< connecting failed, or no complete response
  Cancelled,     ///< ended by this process; not counted for or against the upstream
};

template<>
struct EnumTable<AttemptOutcome>
{
  static constexpr std::array<EnumName<AttemptOutcome>, 5> kEntries{ {
    { AttemptOutcome::Answered, "answered" },
    { AttemptOutcome::ErrorResponse, "error-answer" },
    { AttemptOutcome::Shed, "shed" },
    { AttemptOutcome::Failed, "failed" },
    { AttemptOutcome::Cancelled, "cancelled" },
  } };
};

} // namespace masticwall
