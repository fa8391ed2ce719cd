#include "LoadRun.h"
#include "TestSystem.h"
#include "Wait.h"
#include <QCoreApplication>
#include <algorithm>
#include <core/Rank.h>
#include <csignal>
#include <cstdio>
#include <map>

using namespace masticwall;
using namespace masticwall::test;

namespace {

constexpr int kVms = 4;
constexpr double kCallsPerSecond = 600.0;
constexpr Duration kRunTime = 10s;
constexpr std::uint64_t kSeed = 20261204;

/** A mixed load of three ranks: orders, lookups, and status checks. */
LoadCall
makeCall(std::uint64_t aIndex, std::mt19937_64& aRandom)
{
  const auto draw = std::uniform_real_distribution<double>(0.0, 1.0)(aRandom);
  const auto number = std::to_string(aIndex);
  if (draw < 0.2) {
    return { "urgent",
             makeRequest("POST",
                         "/orders",
                         { { "Idempotency-Key", "demo-" + number } },
                         "cistern " + number) };
  }
  if (draw < 0.6) {
    return { "standard", makeRequest("GET", "/lookup/" + number) };
  }
  return { "bulk", makeRequest("GET", "/status/bulk/" + number) };
}

std::vector<Duration>
latenciesOf(const std::vector<LoadResult>& aResults, const std::string& aKind)
{
  std::vector<Duration> latencies;
  for (const auto& it : aResults) {
    if (it.kind == aKind && it.outcome == "answered") {
      latencies.push_back(it.latency);
    }
  }
  return latencies;
}

double
toMs(Duration aDuration)
{
  return static_cast<double>(aDuration.count()) / 1e6;
}

void
printRank(const std::string& aRank,
          const std::vector<LoadResult>& aResults,
          const std::vector<LoadResult>& aDirect)
{
  std::map<std::string, int> outcomes;
  for (const auto& it : aResults) {
    outcomes[it.outcome] += it.kind == aRank ? 1 : 0;
  }
  const auto through = latenciesOf(aResults, aRank);
  const auto direct = latenciesOf(aDirect, "direct");
  std::printf("%-9s %8d %8d %8d %8d",
              aRank.c_str(),
              outcomes["answered"],
              outcomes["not-run"],
              outcomes["unknown"],
              outcomes["none"]);
  for (const double share : { 0.5, 0.99, 0.999 }) {
    std::printf(" %10.2f", toMs(percentile(through, share) - percentile(direct, share)));
  }
  std::printf("\n");
}

/** Calls whose answer was not their own, or that got none. */
int
countWrong(const std::vector<LoadResult>& aResults)
{
  return static_cast<int>(
    std::count_if(aResults.begin(), aResults.end(), [](const LoadResult& aResult) {
      return !aResult.isOwnAnswer || aResult.outcome == "none";
    }));
}

/** Orders whose outcome and ledger disagree; prints each. */
int
countBrokenOrders(const std::vector<LoadResult>& aResults, const LedgerFile& aLedger)
{
  int n = 0;
  for (const auto& it : aResults) {
    const std::string key(http::findHeader(it.request.headers, "Idempotency-Key"));
    const auto runs = aLedger.runsOf(key);
    const bool isRight = it.outcome == "answered"  ? runs == 1
                         : it.outcome == "not-run" ? runs == 0
                                                   : runs <= 1;
    if (!key.empty() && !isRight) {
      std::printf("order %s: %s, ran %d times\n", key.c_str(), it.outcome.c_str(), runs);
      ++n;
    }
  }
  return n;
}

int
countDoubled(const LedgerFile& aLedger)
{
  return static_cast<int>(std::count_if(
    aLedger.runsByKey.begin(), aLedger.runsByKey.end(), [](const auto& aEntry) {
      return aEntry.second > 1;
    }));
}

/** Stops every VM with SIGTERM; the number that did not end with exit code 0. */
int
stopAll(TestSystem& aSystem)
{
  int n = 0;
  for (int i = 0; i < kVms; ++i) {
    aSystem.entry(i).signal(SIGTERM);
    aSystem.control(i).signal(SIGTERM);
  }
  for (int i = 0; i < kVms; ++i) {
    n += aSystem.entry(i).waitForEnd() == 0 ? 0 : 1;
    n += aSystem.control(i).waitForEnd() == 0 ? 0 : 1;
  }
  return n;
}

SystemPlan
makePlan()
{
  SystemPlan plan;
  plan.vms = kVms;
  plan.regions = { "sertao", "litoral" };
  plan.services = { { "orders", 2, 4 }, { "lookup", 2, 4 }, { "status", 2, 4 } };
  return plan;
}

/** Direct calls to the upstreams of the same service, at a rate that makes no queue. */
std::vector<LoadResult>
runDirect(const TestSystem& aSystem, const SystemPlan& aPlan)
{
  const int n = 2 * static_cast<int>(aPlan.regions.size());
  std::vector<LoadRun::Target> targets;
  targets.reserve(static_cast<std::size_t>(n));
  for (int i = n; i < 2 * n; ++i) {
    targets.push_back({ aSystem.upstreamHost(i), 9000 });
  }
  LoadRun load(targets, kCallsPerSecond / 3.0, kSeed);
  return load.run(3s, [](std::uint64_t aIndex, std::mt19937_64&) {
    return LoadCall{ "direct", makeRequest("GET", "/lookup/" + std::to_string(aIndex)) };
  });
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  QCoreApplication app(aArgc, aArgv);
  const auto plan = makePlan();
  TestSystem system(plan);
  std::printf(
    "starting 4 VMs in 2 regions, 2 upstreams of each of 3 services a region\n");
  if (!system.start()) {
    std::printf("the system did not start\n");
    return 1;
  }
  std::printf("preset \"test\" published and in force on every VM\n%s",
              system.ctl({ QStringLiteral("status") }).output.toUtf8().constData());
  const auto direct = runDirect(system, plan);
  std::vector<LoadRun::Target> targets;
  targets.reserve(kVms);
  for (int i = 0; i < kVms; ++i) {
    targets.push_back({ system.vmHost(i), TestSystem::kCallerPort });
  }
  std::printf("mixed load of %.0f calls/s for 10 s, seed %llu\n",
              kCallsPerSecond,
              static_cast<unsigned long long>(kSeed));
  LoadRun load(targets, kCallsPerSecond, kSeed);
  const auto results = load.run(kRunTime, makeCall);
  std::printf(
    "                                                   added ms over a direct call\n"
    "rank      answered  not-run  unknown     none        p50        p99      p99.9\n");
  for (const auto& it : EnumTable<Rank>::kEntries) {
    printRank(std::string(it.name), results, direct);
  }
  const auto ledger = system.ledger();
  const auto wrong = countWrong(results);
  const auto broken = countBrokenOrders(results, ledger);
  const auto doubled = countDoubled(ledger);
  std::printf("wrong or missing answers = %d, orders against the ledger = %d, "
              "doubled orders = %d\n",
              wrong,
              broken,
              doubled);
  const auto unclean = stopAll(system);
  std::printf("processes that did not stop with exit code 0 = %d\n", unclean);
  const bool isGood = !results.empty() && wrong + broken + doubled + unclean == 0;
  std::printf("%s\n", isGood ? "demo passed" : "demo FAILED");
  return isGood ? 0 : 1;
}
