#pragma once

#include <QHostAddress>

namespace masticwall::test {

/** The number of a loopback network that no other system of this test uses. */
int
nextNet();

/** The address of host `aLast` in network `aNet`. */
QHostAddress
loopbackAddress(int aNet, int aLast);

} // namespace masticwall::test
