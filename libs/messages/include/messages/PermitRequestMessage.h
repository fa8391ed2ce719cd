#pragma once

#include <QByteArray>
#include <core/Result.h>
#include <decide/PermitRequest.h>

namespace masticwall {

QByteArray
encode(const PermitRequest& aRequest);

/** Fails with a MessageError. Numbers out of range are brought into it. */
Result<PermitRequest>
decodePermitRequest(const QByteArray& aBytes);

} // namespace masticwall
