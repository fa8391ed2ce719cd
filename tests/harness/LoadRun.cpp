#include "LoadRun.h"
#include "TestCaller.h"
#include "Wait.h"
#include <algorithm>
#include <core/Bytes.h>
#include <http/UpstreamConnectionPool.h>

namespace masticwall::test {

namespace {

constexpr int kConnections = 400; ///< to each target
constexpr Duration kCallTimeout = std::chrono::seconds(12);
constexpr int kSettleMs = 15'000;

bool
isResponseTo(const http::Request& aRequest, const http::Response& aResponse)
{
  const auto id = http::findHeader(aRequest.headers, "Request-Id");
  const auto expected = aRequest.method + ' ' + aRequest.target + '\n' + aRequest.body;
  return http::findHeader(aResponse.headers, "Echo-Id") == id &&
         aResponse.body == expected;
}

} // namespace

struct LoadRun::Impl
{
  Impl(std::vector<Target> aTargets, double aCallsPerSecond, std::uint64_t aSeed)
    : targets(std::move(aTargets))
    , gap(aCallsPerSecond)
    , random(aSeed)
  {
  }

  std::vector<Target> targets;
  std::exponential_distribution<double> gap;
  std::mt19937_64 random;
  TimerService timers;
  http::UpstreamConnectionPool pool{ timers, kConnections };
  std::vector<LoadResult> results;
  std::size_t open = 0;
  std::uint64_t started = 0;

  void begin(const MakeCall& aMakeCall, Instant aDue)
  {
    auto call = aMakeCall(started++, random);
    const auto& target = targets[started % targets.size()];
    call.request.headers.push_back({ "Request-Id", std::to_string(started) });
    http::Exchange exchange;
    exchange.host = target.host;
    exchange.port = target.port;
    exchange.request = call.request;
    exchange.timeout = kCallTimeout;
    exchange.connectTimeout = 2s;
    exchange.limits.maxBodyBytes = 64 * kMiB;
    ++open;
    // From when the call was due, so that a late start counts as waiting.
    exchange.done = [this, call, aDue](const http::ExchangeResult& aResult) {
      --open;
      finish(call, aDue, aResult);
    };
    pool.start(std::move(exchange));
  }

  void finish(const LoadCall& aCall, Instant aDue, const http::ExchangeResult& aResult)
  {
    LoadResult result;
    result.kind = aCall.kind;
    result.request = aCall.request;
    result.dueAt = aDue;
    result.latency = timers.now() - aDue;
    if (aResult.error) {
      result.outcome = "none";
      result.reason = aResult.error.message();
    } else {
      result.outcome = outcomeOf(aResult.response);
      if (result.outcome.empty()) {
        result.outcome = "answered";
      }
      result.reason = reasonOf(aResult.response);
      result.status = aResult.response.status;
      result.isOwnAnswer =
        result.outcome != "answered" || isResponseTo(aCall.request, aResult.response);
    }
    results.push_back(std::move(result));
  }
};

LoadRun::LoadRun(std::vector<Target> aTargets,
                 double aCallsPerSecond,
                 std::uint64_t aSeed)
  : mImpl(std::make_unique<Impl>(std::move(aTargets), aCallsPerSecond, aSeed))
{
}

LoadRun::~LoadRun() = default;

void
LoadRun::setTargets(std::vector<Target> aTargets)
{
  mImpl->targets = std::move(aTargets);
}

std::vector<LoadResult>
LoadRun::run(Duration aDuration, const MakeCall& aMakeCall)
{
  auto& impl = *mImpl;
  impl.results.clear();
  const auto start = impl.timers.now();
  auto due = start;
  bool isOver = false;
  TimerHandle timer;
  std::function<void()> step = [&] {
    while (due <= impl.timers.now() && due < start + aDuration) {
      impl.begin(aMakeCall, due);
      const std::chrono::duration<double> gap(impl.gap(impl.random));
      due += std::chrono::duration_cast<Duration>(gap);
    }
    isOver = due >= start + aDuration;
    if (!isOver) {
      timer = impl.timers.scheduleAt(due, step);
    }
  };
  step();
  const auto most = static_cast<int>(toMilliseconds(aDuration)) + kSettleMs;
  waitUntil([&] { return isOver && impl.open == 0; }, most);
  return std::move(impl.results);
}

Duration
percentile(std::vector<Duration> aLatencies, double aShare)
{
  if (aLatencies.empty()) {
    return Duration{ 0 };
  }
  std::sort(aLatencies.begin(), aLatencies.end());
  const auto last = static_cast<double>(aLatencies.size() - 1);
  return aLatencies[static_cast<std::size_t>(last * aShare)];
}

} // namespace masticwall::test
