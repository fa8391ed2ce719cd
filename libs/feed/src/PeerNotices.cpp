#include <core/RandomSource.h>
#include <feed/PeerNotices.h>

namespace masticwall {

namespace {

constexpr Duration kTimeout = std::chrono::seconds(2);

} // namespace

PeerNotices::PeerNotices(TimerService& aTimers,
                         const MembershipTable& aMembership,
                         std::string aOwnVm)
  : mMembership(aMembership)
  , mOwnVm(std::move(aOwnVm))
  , mClients(aTimers)
{
}

void
PeerNotices::tellAll(const std::string& aPath,
                     const QByteArray& aBody,
                     std::function<void()> aDone)
{
  // Called when the last request lets go of it.
  const std::shared_ptr<void> all(nullptr, [done = std::move(aDone)](void*) { done(); });
  for (const auto& it : others()) {
    mClients.of(it.name, it.host, it.controlPort)
      .request(aPath, aBody, kTimeout, [all](const Result<QByteArray>&) {});
  }
}

void
PeerNotices::askOne(const std::string& aPath,
                    const QByteArray& aBody,
                    const std::function<void(const QByteArray&)>& aOnReply)
{
  const auto list = others();
  if (list.empty()) {
    return;
  }
  const auto& vm = list[randomIndex(mRandom, list.size())];
  mClients.of(vm.name, vm.host, vm.controlPort)
    .request(aPath, aBody, kTimeout, [aOnReply](const Result<QByteArray>& aReply) {
      if (aReply.has_value()) {
        aOnReply(aReply.value());
      }
    });
}

std::vector<Vm>
PeerNotices::others() const
{
  auto list = mMembership.current();
  std::erase_if(list, [this](const Vm& aVm) {
    return aVm.role != VmRole::Masticwall || aVm.name == mOwnVm;
  });
  return list;
}

} // namespace masticwall
