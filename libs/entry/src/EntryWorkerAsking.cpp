#include "EntryWorker.h"

// The part of EntryWorker that asks upstreams for their load before a call is sent. Their
// load and speed change within milliseconds, and one entry hears too little of each of
// them from its own calls.
namespace masticwall {

namespace {

/** A report is good for so long: hosts change their speed a few times a second. */
constexpr Duration kFreshFor = std::chrono::milliseconds(60);

/** Answers that take longer are not waited for; a near one takes some milliseconds. */
constexpr Duration kLongestAsking = std::chrono::milliseconds(12);
constexpr int kMostRounds = 2;
constexpr Duration kQueryTimeout = std::chrono::milliseconds(250);

const std::string*
healthPathOf(const Preset& aPreset, const std::string& aService)
{
  for (const auto& it : aPreset.services) {
    if (it.name == aService && !it.healthPath.empty()) {
      return &it.healthPath;
    }
  }
  return nullptr;
}

} // namespace

void
EntryWorker::askLoads(Call& aCall)
{
  const auto now = mTimers.now();
  // The first round asks the usual favourites, which are near. Only if what they say
  // makes another upstream the favourite is that one asked too.
  const auto n = aCall.askingRounds == 0 ? aCall.preset->limits.loadQueries : 1;
  const bool mayAsk =
    aCall.preset->limits.loadQueries > 0 && aCall.askingRounds++ < kMostRounds;
  const auto* const path = mayAsk ? healthPathOf(*aCall.preset, aCall.service) : nullptr;
  if (path == nullptr) {
    send(aCall);
    return;
  }
  const auto stale = mTables.upstreams.staleFavourites(
    queryOf(aCall), static_cast<std::size_t>(n), kFreshFor, now);
  const auto cost = static_cast<double>(stale.size());
  const bool isPaid = stale.empty() || mLoadQueries->take(cost, now);
  if (!isPaid) {
    mTables.metrics.count(Counter::LoadQueries, "over-budget");
  }
  if (stale.empty() || !isPaid) {
    send(aCall);
    return;
  }
  aCall.stage = CallStage::Asking;
  aCall.loadQueries = stale.size();
  const auto id = aCall.id;
  aCall.askingTimer = mTimers.subscribeIn(kLongestAsking, [this, id] { stopAsking(id); });
  for (const auto& it : stale) {
    askLoad(id, it, *path);
  }
}

void
EntryWorker::askLoad(std::uint64_t aCall,
                     const UpstreamAddress& aUpstream,
                     std::string aPath)
{
  http::Exchange exchange;
  exchange.host = QHostAddress(QString::fromStdString(aUpstream.host));
  exchange.port = aUpstream.port;
  exchange.request.method = "GET";
  exchange.request.target = std::move(aPath);
  exchange.request.headers.push_back({ "Host", aUpstream.host });
  exchange.timeout = kQueryTimeout;
  exchange.connectTimeout = kQueryTimeout;
  exchange.done = [this, aCall, aUpstream](const http::BackResult& aResult) {
    onLoad(aCall, aUpstream, aResult);
  };
  mBack.start(std::move(exchange));
}

void
EntryWorker::onLoad(std::uint64_t aCall,
                    const UpstreamAddress& aUpstream,
                    const http::BackResult& aResult)
{
  const auto now = mTimers.now();
  mTables.metrics.count(Counter::LoadQueries, aResult.error ? "failed" : "answered");
  if (aResult.error) {
    mTables.upstreams.reportUnreachable(aUpstream, now);
  } else if (const auto signs = mHub.dialect.readSigns(aResult.response, now);
             signs.load.has_value()) {
    mTables.upstreams.reportLoad(aUpstream, *signs.load);
  }
  auto* const call = find(aCall);
  if (call != nullptr && call->stage == CallStage::Asking && --call->loadQueries == 0) {
    stopAsking(aCall);
  }
}

void
EntryWorker::stopAsking(std::uint64_t aCall)
{
  auto* const call = find(aCall);
  if (call != nullptr && call->stage == CallStage::Asking) {
    call->askingTimer.cancel();
    call->stage = CallStage::Waiting;
    askLoads(*call);
  }
}

} // namespace masticwall
