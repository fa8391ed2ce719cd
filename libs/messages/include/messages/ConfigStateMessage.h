#pragma once

#include <QByteArray>
#include <core/Result.h>
#include <decide/ConfigState.h>

namespace masticwall {

/** The whole configuration, from one control process to another. */
QByteArray
encode(const ConfigState& aState);

/** Fails with a MessageError. */
Result<ConfigState>
decodeConfigState(const QByteArray& aBytes);

} // namespace masticwall
