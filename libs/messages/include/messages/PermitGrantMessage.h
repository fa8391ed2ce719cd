#pragma once

#include <QByteArray>
#include <core/Result.h>
#include <decide/PermitGrant.h>

namespace masticwall {

QByteArray
encode(const PermitGrant& aGrant);

/** Fails with a MessageError. Numbers out of range are brought into it. */
Result<PermitGrant>
decodePermitGrant(const QByteArray& aBytes);

} // namespace masticwall
