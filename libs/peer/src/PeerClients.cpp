#include <peer/PeerClients.h>

namespace masticwall {

PeerClient&
PeerClients::clientFor(const std::string& aVm,
                       const std::string& aHost,
                       std::uint16_t aPort)
{
  auto& entry = mClients[aVm];
  if (entry.client == nullptr || entry.host != aHost || entry.port != aPort) {
    const QHostAddress address(QString::fromStdString(aHost));
    entry = { aHost,
              aPort,
              std::make_unique<PeerClient>(mTimers, address, aPort, mTimeouts) };
  }
  return *entry.client;
}

} // namespace masticwall
