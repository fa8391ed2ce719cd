#include "ControlClient.h"
#include "FeedApplier.h"
#include "NativeDialect.h"
#include "PeerOrderReports.h"
#include <entry/EntryDaemon.h>
#include <entry/EntryProcess.h>

namespace masticwall {

namespace {

OrderView
toOrderView(const OrderReport& aReport)
{
  return { aReport.state, std::make_shared<const http::Response>(aReport.response) };
}

} // namespace

struct EntryDaemon::Impl
{
  explicit Impl(const EntrySettings& aSettings)
    : control(timers, aSettings)
  {
  }

  Result<void> start(const EntrySettings& aSettings, ExitCallback aOnExit);
  ControlPlane makeControlPlane();
  void onFeed(const Feed& aFeed);

  TimerService timers;
  ControlClient control;
  std::unique_ptr<EntryProcess> process;
  std::unique_ptr<PeerOrderReports> orderReports;
  std::unique_ptr<FeedApplier> feedApplier;
};

Result<void>
EntryDaemon::Impl::start(const EntrySettings& aSettings, ExitCallback aOnExit)
{
  BOOST_OUTCOME_TRY(
    entry,
    EntryProcess::create(
      timers, aSettings, makeDialectTable<NativeDialect>(), std::move(aOnExit)));
  process = std::move(entry);
  BOOST_OUTCOME_TRY(reports, PeerOrderReports::create(timers, process->tables()));
  orderReports = std::move(reports);
  feedApplier = std::make_unique<FeedApplier>(process->tables());
  process->setControlPlane(makeControlPlane());
  control.start([this](const Feed& aFeed) { onFeed(aFeed); });
  return success();
}

ControlPlane
EntryDaemon::Impl::makeControlPlane()
{
  ControlPlane controlPlane;
  controlPlane.claim =
    [this](const Claim& aClaim, Instant aDeadline, ControlPlane::ClaimCallback aDone) {
      control.claim(aClaim, aDeadline, std::move(aDone));
    };
  controlPlane.release = [this](const ClaimId& aId) { control.release(aId); };
  controlPlane.queryOrder = [this](const ClaimId& aClaimHolder,
                                   Instant aDeadline,
                                   ControlPlane::ReportCallback aDone) {
    orderReports->fetch(aClaimHolder, aDeadline, std::move(aDone));
  };
  controlPlane.sendOrderReport = [this](std::uint64_t aWaiter,
                                        const OrderReport& aReport) {
    orderReports->onOrderSettled(aWaiter, toOrderView(aReport));
  };
  controlPlane.reportLeaving = [this](const std::string& aVm,
                                      const std::string& aInstance) {
    control.reportLeaving(aVm, aInstance);
  };
  controlPlane.reportSuspect = [this](const SuspectCount& aSuspect,
                                      std::function<void()> aDone) {
    control.reportSuspect(aSuspect, std::move(aDone));
  };
  controlPlane.isConnected = [this] { return control.isConnected(); };
  return controlPlane;
}

void
EntryDaemon::Impl::onFeed(const Feed& aFeed)
{
  if (feedApplier->apply(aFeed, timers.now())) {
    process->onTablesChanged();
  }
}

Result<std::unique_ptr<EntryDaemon>>
EntryDaemon::create(const EntrySettings& aSettings, ExitCallback aOnExit)
{
  auto impl = std::make_unique<Impl>(aSettings);
  BOOST_OUTCOME_TRYV(impl->start(aSettings, std::move(aOnExit)));
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
  // Flags and environment variables can't change at run time.
}

} // namespace masticwall
