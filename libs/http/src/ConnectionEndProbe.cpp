#include "ConnectionEndProbe.h"
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace masticwall::http {

ConnectionEndProbe::~ConnectionEndProbe()
{
  if (mSocket >= 0) {
    close(mSocket);
  }
}

void
ConnectionEndProbe::watch(int aSocket)
{
  if (mSocket < 0 && aSocket >= 0) {
    mSocket = fcntl(aSocket, F_DUPFD_CLOEXEC, 0);
  }
}

bool
ConnectionEndProbe::hasEndedInOrder() const
{
  pollfd descriptor{ mSocket, POLLIN, 0 };
  char byte = 0;
  return mSocket >= 0 && poll(&descriptor, 1, 0) >= 0 &&
         (descriptor.revents & (POLLERR | POLLHUP | POLLNVAL)) == 0 &&
         recv(mSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

} // namespace masticwall::http
