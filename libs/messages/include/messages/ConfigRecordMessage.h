#pragma once

#include <QByteArray>
#include <core/Result.h>
#include <decide/ConfigRecord.h>

namespace masticwall {

/** Encodes a record of the configuration log. */
QByteArray
encode(const ConfigRecord& aRecord);

/** Fails with a MessageError. */
Result<ConfigRecord>
decodeConfigRecord(const QByteArray& aBytes);

} // namespace masticwall
