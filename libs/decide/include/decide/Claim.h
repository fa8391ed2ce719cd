#pragma once

#include <core/ClaimId.h>
#include <core/Digest.h>

namespace masticwall {

/**
 * A record on the claims log by which an entry process reserves the idempotency key of an
 * order (a non-idempotent call), so that the order runs at most once, whichever processes
 * receive it.
 */
struct Claim
{
  ClaimId id;
  Digest key;     ///< of the caller and its idempotency key
  Digest request; ///< of the request, to detect that a key is reused for another one
  std::int64_t madeAtMs = 0; ///< claimant's wall clock, Unix time in milliseconds

  bool operator==(const Claim&) const = default;
};

} // namespace masticwall
