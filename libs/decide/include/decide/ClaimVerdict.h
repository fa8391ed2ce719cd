#pragma once

#include <core/EnumNames.h>
#include <cstdint>
#include <decide/Claim.h>

namespace masticwall {

/** What the log says of a claim. */
enum class ClaimStanding : std::uint8_t
{
  Granted,     ///< the first of its key: its claimant may run the order, once
  Lost,        ///< another claim holds the key for the same request
  KeyReused,   ///< another claim holds the key for another request
  Unavailable, ///< not known: the log could not be read or written in time
};

template<>
struct EnumTable<ClaimStanding>
{
  static constexpr std::array<EnumName<ClaimStanding>, 4> kEntries{ {
    { ClaimStanding::Granted, "granted" },
    { ClaimStanding::Lost, "lost" },
    { ClaimStanding::KeyReused, "key-reused" },
    { ClaimStanding::Unavailable, "unavailable" },
  } };
};

/** The standing of a claim and, where it lost, the claim that holds the key. */
struct ClaimVerdict
{
  ClaimId claim;
  ClaimStanding standing = ClaimStanding::Unavailable;
  ClaimId holder;
};

} // namespace masticwall
