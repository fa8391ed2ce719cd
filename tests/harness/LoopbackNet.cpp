#include "LoopbackNet.h"
#include <unistd.h>

namespace masticwall::test {

int
nextNet()
{
  static int sCount = 0;
  return static_cast<int>(getpid()) % 5000 * 10 + sCount++ % 10;
}

QHostAddress
loopbackAddress(int aNet, int aLast)
{
  // 127.16.0.0 and up: away from what other programs use.
  return QHostAddress((127U << 24U) + (16U << 16U) + (static_cast<quint32>(aNet) << 8U) +
                      static_cast<quint32>(aLast));
}

} // namespace masticwall::test
