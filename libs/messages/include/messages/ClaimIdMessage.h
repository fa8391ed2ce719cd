#pragma once

#include <QByteArray>
#include <core/ClaimId.h>
#include <core/Result.h>

namespace masticwall {

/**
 * Encodes a claim's id: the body of a request to the claimant for the order's outcome, or
 * to the control process to release the claim.
 */
QByteArray
encode(const ClaimId& aId);

/** Fails with a MessageError. */
Result<ClaimId>
decodeClaimId(const QByteArray& aBytes);

} // namespace masticwall
