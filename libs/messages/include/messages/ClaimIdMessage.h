#pragma once

#include <QByteArray>
#include <core/ClaimId.h>
#include <core/Result.h>

namespace masticwall {

/** A claim's name: asks its VM for the outcome, or its control process for a release. */
QByteArray
encode(const ClaimId& aId);

/** Fails with a MessageError. */
Result<ClaimId>
decodeClaimId(const QByteArray& aBytes);

} // namespace masticwall
