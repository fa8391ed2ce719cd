#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall {

/** What a caller is told became of its call. Every answer carries exactly one. */
enum class Outcome : std::uint8_t
{
  Answered, ///< the upstream's whole answer follows
  NotRun,   ///< no upstream ran it, and none will on behalf of this call
  Unknown,  ///< it ran at most once; masticwall will not run it again
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
