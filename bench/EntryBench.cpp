#include "LoadRun.h"
#include "ProcessCost.h"
#include "TestSystem.h"
#include <QCoreApplication>
#include <cstdio>

// bench-entry: one entry process between a load and one service, against direct calls
// in the same run. Prints calls per second of processor time, and the added latency at
// a fixed open-loop rate. Usage: bench-entry [calls/s] [seconds] [seed]

using namespace masticwall;
using namespace masticwall::bench;
using namespace masticwall::test;

namespace {

constexpr int kUpstreams = 4;

LoadCall
makeLookup(std::uint64_t aIndex, std::mt19937_64& /*aRandom*/)
{
  return { "lookup", makeRequest("GET", "/lookup/" + std::to_string(aIndex)) };
}

struct Summary
{
  std::size_t answered = 0;
  Duration p50{ 0 };
  Duration p99{ 0 };
};

Summary
summarize(const std::vector<LoadResult>& aResults)
{
  std::vector<Duration> latencies;
  for (const auto& it : aResults) {
    if (it.outcome == "answered" && it.isOwnAnswer) {
      latencies.push_back(it.latency);
    }
  }
  return { latencies.size(), percentile(latencies, 0.5), percentile(latencies, 0.99) };
}

double
toMs(Duration aDuration)
{
  return static_cast<double>(aDuration.count()) / 1e6;
}

double
argument(int aIndex, double aDefault)
{
  const auto arguments = QCoreApplication::arguments();
  return arguments.size() > aIndex ? arguments[aIndex].toDouble() : aDefault;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  QCoreApplication app(aArgc, aArgv);
  const auto rate = argument(1, 2000.0);
  const auto seconds = std::chrono::seconds(static_cast<int>(argument(2, 10.0)));
  const auto seed = static_cast<std::uint64_t>(argument(3, 1.0));
  SystemPlan plan;
  plan.vms = 1;
  plan.services = { { "lookup", kUpstreams, 64 } };
  plan.serviceMs = 1.0;
  TestSystem system(plan);
  if (!system.start()) {
    std::printf("the system did not start\n");
    return 1;
  }
  std::vector<LoadRun::Target> upstreams;
  upstreams.reserve(kUpstreams);
  for (int i = 0; i < kUpstreams; ++i) {
    upstreams.push_back({ system.upstreamHost(i), 9000 });
  }
  LoadRun directRun(upstreams, rate, seed);
  const auto direct = summarize(directRun.run(seconds, makeLookup));
  LoadRun throughRun({ { system.vmHost(0), TestSystem::kCallerPort } }, rate, seed);
  throughRun.run(1s, makeLookup);
  const auto before = ProcessCost::of(system.entry(0).pid()).processorSeconds;
  const auto results = throughRun.run(seconds, makeLookup);
  const auto used = ProcessCost::of(system.entry(0).pid()).processorSeconds - before;
  const auto through = summarize(results);
  std::printf("rate=%.0f/s seconds=%lld seed=%llu calls=%zu answered=%zu\n",
              rate,
              static_cast<long long>(seconds.count()),
              static_cast<unsigned long long>(seed),
              results.size(),
              through.answered);
  std::printf("calls per second of processor time = %.0f\n",
              static_cast<double>(through.answered) / used);
  std::printf("direct  ms: p50=%.3f p99=%.3f\n", toMs(direct.p50), toMs(direct.p99));
  std::printf("through ms: p50=%.3f p99=%.3f\n", toMs(through.p50), toMs(through.p99));
  std::printf("added   ms: p50=%.3f p99=%.3f\n",
              toMs(through.p50 - direct.p50),
              toMs(through.p99 - direct.p99));
  return 0;
}
