#pragma once

#include <QByteArray>
#include <core/Result.h>
#include <decide/Claim.h>
#include <vector>

namespace masticwall {

/** One record of the claims log: a batch of claims and releases. */
struct ClaimRecord
{
  std::vector<Claim> claims;
  std::vector<ClaimId> releases; ///< claims that no longer hold their keys
};

QByteArray
encode(const ClaimRecord& aRecord);

/** Fails with a MessageError. */
Result<ClaimRecord>
decodeClaimRecord(const QByteArray& aBytes);

} // namespace masticwall
