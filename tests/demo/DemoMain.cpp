#include "GatewaySystem.h"
#include "LoadRun.h"
#include "Wait.h"
#include <QCoreApplication>
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <map>

using namespace masticwall;
using namespace masticwall::test;

namespace {

constexpr int kGateways = 4;
constexpr int kUpstreams = 8;
constexpr int kFirstGatewayHost = 10;
constexpr double kCallsPerSecond = 400.0;
constexpr Duration kRunTime = 10s;
constexpr std::uint64_t kSeed = 20261204;
constexpr int kNewVersion = 2;

constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

constexpr const char* kOrder = "order";
constexpr const char* kLookup = "lookup";

/** One order in three calls, each with an id of its own. */
LoadCall
makeCall(std::uint64_t aIndex, std::mt19937_64& aRandom)
{
  const auto number = std::to_string(aIndex);
  const http::HeaderList headers{ { "Host", "a.example" },
                                  { "Masticwall-Request-Id", "demo-" + number },
                                  { "Masticwall-Request-Deadline", "2000" } };
  if (std::uniform_int_distribution<int>(0, 2)(aRandom) == 0) {
    return { kOrder, makeRequest("POST", "/order/" + number, headers, "cistern") };
  }
  return { kLookup, makeRequest("GET", "/read/" + number, headers) };
}

/** What the caller was told, by the status of its answer. */
const char*
outcomeOf(const LoadResult& aResult)
{
  switch (aResult.status) {
    case 0:
      return "none";
    case kOk:
      return "answered";
    case kTooManyRequests:
    case kServiceUnavailable:
      return "not-run";
    default:
      return "unknown";
  }
}

double
toMs(Duration aDuration)
{
  return static_cast<double>(aDuration.count()) / 1e6;
}

void
printKind(const std::string& aKind, const std::vector<LoadResult>& aResults)
{
  std::map<std::string, int> outcomes;
  std::vector<Duration> latencies;
  for (const auto& it : aResults) {
    if (it.kind == aKind) {
      ++outcomes[outcomeOf(it)];
      latencies.push_back(it.latency);
    }
  }
  std::printf("%-9s %8d %8d %8d %8d %10.2f %10.2f\n",
              aKind.c_str(),
              outcomes["answered"],
              outcomes["not-run"],
              outcomes["unknown"],
              outcomes["none"],
              toMs(percentile(latencies, 0.5)),
              toMs(percentile(latencies, 0.99)));
}

/** Calls whose answer was not their own, or that got none. */
int
countWrong(const std::vector<LoadResult>& aResults)
{
  return static_cast<int>(
    std::count_if(aResults.begin(), aResults.end(), [](const LoadResult& aResult) {
      const bool isOther = aResult.status == kOk && !aResult.isOwnAnswer;
      return isOther || aResult.status == 0;
    }));
}

/** Orders whose outcome and the upstreams' ledgers disagree; prints each. */
int
countBrokenOrders(const std::vector<LoadResult>& aResults, const GatewaySystem& aSystem)
{
  const auto runs = aSystem.runsById();
  int n = 0;
  for (const auto& it : aResults) {
    const std::string id(http::findHeader(it.request.headers, "Masticwall-Request-Id"));
    const auto found = runs.find(id);
    const int ran = found == runs.end() ? 0 : found->second;
    const std::string outcome = outcomeOf(it);
    const bool isRight = outcome == "answered"  ? ran == 1
                         : outcome == "not-run" ? ran == 0
                                                : ran <= 1;
    if (it.kind == kOrder && !isRight) {
      std::printf("order %s: %s, ran %d times\n", id.c_str(), outcome.c_str(), ran);
      ++n;
    }
  }
  return n;
}

/** Publishes another configuration; true once every gateway has it in force. */
bool
changeConfig(GatewaySystem& aSystem)
{
  aSystem.writeConfig(kNewVersion);
  const auto path = "/v" + std::to_string(kNewVersion) + '/';
  return waitUntil([&] {
    for (int i = 0; i < kGateways; ++i) {
      const auto answer = aSystem.call(i, "GET", path, "config");
      if (!answer.has_value() || answer->status != 200) {
        return false;
      }
    }
    return true;
  });
}

/** Stops every gateway with SIGTERM; the number that did not end with exit code 0. */
int
stopAll(GatewaySystem& aSystem)
{
  int n = 0;
  for (int i = 0; i < kGateways; ++i) {
    aSystem.gateway(i).signal(SIGTERM);
  }
  for (int i = 0; i < kGateways; ++i) {
    n += aSystem.gateway(i).waitForEnd() == 0 ? 0 : 1;
  }
  return n;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  QCoreApplication app(aArgc, aArgv);
  GatewaySystem system(kGateways, kUpstreams);
  std::printf("starting a store, %d upstreams and %d gateways\n", kUpstreams, kGateways);
  if (!system.start()) {
    std::printf("the system did not start\n");
    return 1;
  }
  std::vector<LoadRun::Target> targets;
  targets.reserve(kGateways);
  for (int i = 0; i < kGateways; ++i) {
    targets.push_back({ system.host(kFirstGatewayHost + i), GatewaySystem::kFrontPort });
  }
  std::printf("orders and lookups, %.0f calls/s for 10 s, seed %llu\n",
              kCallsPerSecond,
              static_cast<unsigned long long>(kSeed));
  LoadRun load(targets, kCallsPerSecond, kSeed);
  const auto results = load.run(kRunTime, makeCall);
  std::printf("kind      answered  not-run  unknown     none     p50 ms     p99 ms\n");
  printKind(kOrder, results);
  printKind(kLookup, results);
  const auto wrong = countWrong(results);
  const auto broken = countBrokenOrders(results, system);
  std::printf(
    "wrong or missing answers = %d, orders against the ledgers = %d\n", wrong, broken);
  const bool isChanged = changeConfig(system);
  std::printf("configuration %d in force at every gateway: %s\n",
              kNewVersion,
              isChanged ? "yes" : "no");
  const auto unclean = stopAll(system);
  std::printf("gateways that did not stop with exit code 0 = %d\n", unclean);
  const bool isGood = !results.empty() && wrong + broken + unclean == 0 && isChanged;
  std::printf("%s\n", isGood ? "demo passed" : "demo FAILED");
  return isGood ? 0 : 1;
}
