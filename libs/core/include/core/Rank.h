#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall {

/**
 * The priority of a call; the first enumerator is the highest. The configuration sets for
 * each rank the maximum time in the admission queue (target) and the guaranteed share of
 * call starts under overload (floor).
 */
enum class Rank : std::uint8_t
{
  Urgent,
  Standard,
  Bulk,
};

inline constexpr std::size_t kRankCount = 3;

template<>
struct EnumTable<Rank>
{
  static constexpr std::array<EnumName<Rank>, kRankCount> kEntries{ {
    { Rank::Urgent, "urgent" },
    { Rank::Standard, "standard" },
    { Rank::Bulk, "bulk" },
  } };
};

/** The index of `aRank` in an array with one element per rank. */
constexpr std::size_t
indexOf(Rank aRank)
{
  return static_cast<std::size_t>(aRank);
}

} // namespace masticwall
