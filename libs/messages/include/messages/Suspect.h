#pragma once

#include <QByteArray>
#include <core/Result.h>
#include <decide/SuspectCount.h>

namespace masticwall {

QByteArray
encode(const SuspectCount& aCount);

/** Fails with a MessageError. */
Result<SuspectCount>
decodeSuspect(const QByteArray& aBytes);

} // namespace masticwall
