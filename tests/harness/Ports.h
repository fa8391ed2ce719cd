#pragma once

#include <QHostAddress>

namespace masticwall::test {

/** Runs the event loop until something listens at the address. */
bool
waitForPort(const QHostAddress& aHost, quint16 aPort);

} // namespace masticwall::test
