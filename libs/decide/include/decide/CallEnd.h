#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall {

/** How a call ended at an upstream, as the choice of upstreams sees it. */
enum class CallEnd : std::uint8_t
{
  Answered,
  ErrorAnswer, ///< a whole answer that says that the upstream failed (5xx)
  Shed,        ///< the upstream said that it did not run the call
  Failed,      ///< no connection, or no whole answer
  Cancelled,   ///< ended from this side; says nothing of the upstream
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
