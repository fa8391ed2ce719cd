#pragma once

#include <core/ClaimId.h>
#include <core/Digest.h>

namespace masticwall {

/** A claim of a key by one entry process, as it stands on the log. */
struct Claim
{
  ClaimId id;
  Digest key;
  Digest request;
  std::int64_t madeAtMs = 0; ///< claimant's wall clock, milliseconds since 1970

  bool operator==(const Claim&) const = default;
};

} // namespace masticwall
