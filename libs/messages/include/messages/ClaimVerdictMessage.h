#pragma once

#include <QByteArray>
#include <core/Result.h>
#include <decide/ClaimVerdict.h>

namespace masticwall {

/** Encodes the control process's reply to a claim. */
QByteArray
encode(const ClaimVerdict& aVerdict);

/** Fails with a MessageError. */
Result<ClaimVerdict>
decodeClaimVerdict(const QByteArray& aBytes);

} // namespace masticwall
