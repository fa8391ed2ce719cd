#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall {

/** The rank of a call, most urgent first. Presets give each its target and floor. */
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

/** The index of `aRank` in an array by rank. */
constexpr std::size_t
indexOf(Rank aRank)
{
  return static_cast<std::size_t>(aRank);
}

} // namespace masticwall
