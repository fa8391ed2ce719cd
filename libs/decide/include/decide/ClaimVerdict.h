#pragma once

#include <core/EnumNames.h>
#include <cstdint>
#include <decide/Claim.h>

namespace masticwall {

/** Whether a claim got its key. */
enum class ClaimStatus : std::uint8_t
{
  Granted,     ///< holds the key: its claimant may run the order, once
  Lost,        ///< another claim holds the key, for the same request
  KeyReused,   ///< another claim holds the key, for a different request
  Unavailable, ///< unknown: the log could not be read or written in time
};

template<>
struct EnumTable<ClaimStatus>
{
  static constexpr std::array<EnumName<ClaimStatus>, 4> kEntries{ {
    { ClaimStatus::Granted, "granted" },
    { ClaimStatus::Lost, "lost" },
    { ClaimStatus::KeyReused, "key-reused" },
    { ClaimStatus::Unavailable, "unavailable" },
  } };
};

/** The result of a claim, and the claim that holds the key: itself if granted. */
struct ClaimVerdict
{
  ClaimId claim;
  ClaimStatus claimStatus = ClaimStatus::Unavailable;
  ClaimId holder;
};

} // namespace masticwall
