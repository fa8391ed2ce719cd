#pragma once

#include <QByteArray>
#include <core/ClaimId.h>
#include <core/Result.h>

namespace masticwall {

/**
 * Encodes a claim's id. It is the body of two requests: to the entry process that made
 * the claim, for the order's outcome, and to the control process, to release the claim.
 */
QByteArray
encode(const ClaimId& aId);

/** Fails with a MessageError. */
Result<ClaimId>
decodeClaimId(const QByteArray& aBytes);

} // namespace masticwall
