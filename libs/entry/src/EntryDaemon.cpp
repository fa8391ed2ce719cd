#include "ControlLink.h"
#include "FeedIntake.h"
#include "NativeDialect.h"
#include "PeerOrders.h"
#include <entry/EntryDaemon.h>
#include <entry/EntryProcess.h>

namespace masticwall {

namespace {

OrderView
toView(const OrderReport& aReport)
{
  return { aReport.state, std::make_shared<const http::Response>(aReport.answer) };
}

} // namespace

struct EntryDaemon::Impl
{
  explicit Impl(const EntrySettings& aSettings)
    : control(timers, aSettings)
  {
  }

  Result<void> start(const EntrySettings& aSettings, Ended aEnded);
  Backplane makeBackplane();
  void onFeed(const Feed& aFeed);

  TimerService timers;
  ControlLink control;
  std::unique_ptr<EntryProcess> process;
  std::unique_ptr<PeerOrders> peers;
  std::unique_ptr<FeedIntake> feed;
};

Result<void>
EntryDaemon::Impl::start(const EntrySettings& aSettings, Ended aEnded)
{
  BOOST_OUTCOME_TRY(
    entry,
    EntryProcess::create(timers, aSettings, tableOf<NativeDialect>(), std::move(aEnded)));
  process = std::move(entry);
  BOOST_OUTCOME_TRY(orders, PeerOrders::create(timers, process->tables()));
  peers = std::move(orders);
  feed = std::make_unique<FeedIntake>(process->tables());
  process->setBackplane(makeBackplane());
  control.start([this](const Feed& aFeed) { onFeed(aFeed); });
  return success();
}

Backplane
EntryDaemon::Impl::makeBackplane()
{
  Backplane backplane;
  backplane.claim =
    [this](const Claim& aClaim, Instant aDeadline, Backplane::Verdict aDone) {
      control.claim(aClaim, aDeadline, std::move(aDone));
    };
  backplane.release = [this](const ClaimId& aId) { control.release(aId); };
  backplane.askClaimant =
    [this](const ClaimId& aHolder, Instant aDeadline, Backplane::Report aDone) {
      peers->ask(aHolder, aDeadline, std::move(aDone));
    };
  backplane.tellSettled = [this](std::uint64_t aWaiter, const OrderReport& aReport) {
    peers->onSettled(aWaiter, toView(aReport));
  };
  backplane.reportLeaving = [this](const std::string& aVm, const std::string& aInstance) {
    control.reportLeaving(aVm, aInstance);
  };
  backplane.reportSuspect = [this](const Suspect& aSuspect, std::function<void()> aDone) {
    control.reportSuspect(aSuspect, std::move(aDone));
  };
  backplane.isConnected = [this] { return control.isConnected(); };
  return backplane;
}

void
EntryDaemon::Impl::onFeed(const Feed& aFeed)
{
  if (feed->take(aFeed, timers.now())) {
    process->onTablesChanged();
  }
}

Result<std::unique_ptr<EntryDaemon>>
EntryDaemon::create(const EntrySettings& aSettings, Ended aEnded)
{
  auto impl = std::make_unique<Impl>(aSettings);
  BOOST_OUTCOME_TRYV(impl->start(aSettings, std::move(aEnded)));
  return std::unique_ptr<EntryDaemon>(new EntryDaemon(std::move(impl)));
}

EntryDaemon::EntryDaemon(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

EntryDaemon::~EntryDaemon() = default;

void
EntryDaemon::requestStop()
{
  mImpl->process->requestStop();
}

void
EntryDaemon::reload()
{
  // Flags and environment variables do not change while a process runs.
}

} // namespace masticwall
