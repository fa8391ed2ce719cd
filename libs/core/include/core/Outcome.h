#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall {

/** The result of a call as reported to its caller. Every response carries exactly one. */
enum class Outcome : std::uint8_t
{
  Answered, ///< the response is the upstream's, complete
  NotRun,   ///< no upstream ran the call or will run it
  Unknown,  ///< the call may have run (an order at most once); not sent again
};

template<>
struct EnumTable<Outcome>
{
  static constexpr std::array<EnumName<Outcome>, 3> kEntries{ {
    { Outcome::Answered, "answered" },
    { Outcome::NotRun, "not-run" },
    { Outcome::Unknown, "unknown" },
  } };
};

} // namespace masticwall
