#pragma once

#include <QByteArray>
#include <core/Result.h>
#include <decide/ConfigState.h>

namespace masticwall {

/** Encodes the whole configuration, which one control process sends to another. */
QByteArray
encode(const ConfigState& aState);

/** Fails with a MessageError. */
Result<ConfigState>
decodeConfigState(const QByteArray& aBytes);

} // namespace masticwall
