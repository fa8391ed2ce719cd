#include "Prober.h"
#include <messages/UpstreamReport.h>
#include <random>

namespace masticwall {

namespace {

constexpr Duration kScheduleCheckPeriod = std::chrono::milliseconds(50);
constexpr Duration kProbeTimeout = std::chrono::seconds(1);
constexpr int kConnectionsPerUpstream = 1;
constexpr const char* kHealthPath = "/health";

/** Random (0 to 1), so that the VMs' probes of an upstream are spread over the period. */
double
randomPhase()
{
  std::random_device device;
  return std::uniform_real_distribution<double>(0.0, 1.0)(device);
}

} // namespace

Prober::Prober(TimerService& aTimers, ControlTables& aTables, LeavingCallback aOnLeaving)
  : mTimers(aTimers)
  , mTables(aTables)
  , mOnLeaving(std::move(aOnLeaving))
  , mPool(aTimers, kConnectionsPerUpstream)
  , mSchedule(randomPhase())
{
  mCheckTimer = mTimers.scheduleEvery(kScheduleCheckPeriod, [this] { probeDue(); });
}

void
Prober::probeDue()
{
  const auto preset = mTables.presets.current();
  if (preset == nullptr) {
    return;
  }
  updateUpstreams(preset->measuring);
  for (const auto& it : mSchedule.takeDue(preset->measuring, mTimers.now())) {
    probe(mUpstreams[it]);
  }
}

void
Prober::updateUpstreams(const ProbeBudget& aBudget)
{
  const auto revision = mTables.membership.revision();
  if (revision == mMembershipRevision) {
    return;
  }
  mMembershipRevision = revision;
  mUpstreams.clear();
  std::vector<std::string> names;
  for (auto& it : mTables.membership.current()) {
    if (it.role == VmRole::Upstream && !it.leaving) {
      names.push_back(it.name);
      mUpstreams[it.name] = std::move(it);
    }
  }
  mSchedule.setUpstreams(names, aBudget, mTimers.now());
}

void
Prober::probe(const Vm& aVm)
{
  ++mTables.probes;
  http::Exchange exchange;
  exchange.host = QHostAddress(QString::fromStdString(aVm.host));
  exchange.port = aVm.port;
  exchange.request.method = "GET";
  exchange.request.target = kHealthPath;
  exchange.request.headers.push_back({ "Host", aVm.host });
  exchange.timeout = kProbeTimeout;
  exchange.done = [this, aVm](const http::ExchangeResult& aResult) {
    if (!aResult.error && readUpstreamReport(aResult.response, mTimers.now()).isLeaving) {
      mOnLeaving(aVm);
    }
  };
  mPool.start(std::move(exchange));
}

} // namespace masticwall
