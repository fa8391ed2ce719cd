#include <core/RandomSource.h>
#include <feed/PeerMessenger.h>

namespace masticwall {

namespace {

constexpr Duration kRequestTimeout = std::chrono::seconds(2);

} // namespace

PeerMessenger::PeerMessenger(TimerService& aTimers,
                             const MembershipTable& aMembership,
                             std::string aOwnVm)
  : mMembership(aMembership)
  , mOwnVm(std::move(aOwnVm))
  , mClients(aTimers)
{
}

void
PeerMessenger::sendToAll(const std::string& aPath,
                         const QByteArray& aBody,
                         std::function<void()> aDone)
{
  // The deleter runs once the callback of the last request has been destroyed.
  const std::shared_ptr<void> allDone(nullptr,
                                      [done = std::move(aDone)](void*) { done(); });
  for (const auto& it : otherVms()) {
    mClients.clientFor(it.name, it.host, it.controlPort)
      .request(aPath, aBody, kRequestTimeout, [allDone](const Result<QByteArray>&) {});
  }
}

void
PeerMessenger::requestFromRandomPeer(
  const std::string& aPath,
  const QByteArray& aBody,
  const std::function<void(const QByteArray&)>& aOnReply)
{
  const auto list = otherVms();
  if (list.empty()) {
    return;
  }
  const auto& vm = list[randomIndex(mRandom, list.size())];
  mClients.clientFor(vm.name, vm.host, vm.controlPort)
    .request(aPath, aBody, kRequestTimeout, [aOnReply](const Result<QByteArray>& aReply) {
      if (aReply.has_value()) {
        aOnReply(aReply.value());
      }
    });
}

std::vector<Vm>
PeerMessenger::otherVms() const
{
  auto list = mMembership.current();
  std::erase_if(list, [this](const Vm& aVm) {
    return aVm.role != VmRole::Masticwall || aVm.name == mOwnVm;
  });
  return list;
}

} // namespace masticwall
