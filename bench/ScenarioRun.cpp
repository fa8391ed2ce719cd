#include "ScenarioRun.h"
#include "SharedQueue.h"
#include "Wait.h"
#include <algorithm>
#include <cmath>

namespace masticwall::bench {

namespace {

using test::LoadCall;
using test::LoadResult;
using test::LoadRun;
using test::makeRequest;
using test::TestSystem;

constexpr int kVms = 4;
constexpr int kUpstreams = 12;
constexpr int kSlots = 4;
constexpr double kServiceMs = 60.0;
constexpr double kSigma = 0.8; ///< of the log-normal service times
constexpr double kCapacity = kUpstreams * kSlots * 1000.0 / kServiceMs; ///< calls/s
constexpr Duration kWarmUp = std::chrono::milliseconds(1500);
constexpr Duration kTarget = std::chrono::milliseconds(250); ///< of every rank
constexpr std::array<double, kRankCount> kWorth{ 100.0, 5.0, 1.0 };

/** Offered load of each rank, as a share of the capacity. */
std::array<double, kRankCount>
loadOf(Scenario aScenario)
{
  switch (aScenario) {
    case Scenario::BulkFlood:
    case Scenario::FloodAndSlow:
      return { 0.15, 0.25, 5.0 };
    case Scenario::UrgentFlood:
      return { 5.0, 0.25, 0.3 };
    case Scenario::NoisyCaller:
      return { 0.15, 2.25, 0.0 };
    default:
      return { 0.15, 0.25, 0.3 };
  }
}

/** Draws calls of the three ranks in the scenario's shares. */
LoadCall
makeCall(Scenario aScenario, std::uint64_t aIndex, std::mt19937_64& aRandom)
{
  const auto loads = loadOf(aScenario);
  std::discrete_distribution<std::size_t> rankOf(loads.begin(), loads.end());
  const auto rank = rankOf(aRandom);
  std::lognormal_distribution<double> shape(-kSigma * kSigma / 2.0, kSigma);
  const auto us = static_cast<int>(kServiceMs * 1000.0 * shape(aRandom));
  const std::string name(EnumTable<Rank>::kEntries[rank].name);
  http::HeaderList headers{ { "Test-Service-Us", std::to_string(us) } };
  auto caller = "caller-" + std::to_string(aIndex % 20);
  // Of the noisy rank, eight calls of nine come from one caller.
  if (aScenario == Scenario::NoisyCaller && rank == indexOf(Rank::Standard) &&
      aIndex % 9 != 0) {
    caller = "noisy";
  }
  headers.push_back({ "Masticwall-Caller", caller });
  return { name,
           makeRequest("GET", "/field/" + name + '/' + std::to_string(aIndex), headers) };
}

void
bring(TestSystem& aSystem, Scenario aScenario)
{
  switch (aScenario) {
    case Scenario::OneSlow:
    case Scenario::FloodAndSlow:
      aSystem.setUpstream(0, "slow_factor=10");
      return;
    case Scenario::OneFailsFast:
      aSystem.setUpstream(0, "failing=1");
      return;
    case Scenario::ThreeDrain:
      for (int i = 0; i < 3; ++i) {
        aSystem.setUpstream(i, "leaving=1");
      }
      return;
    case Scenario::ColdStart:
      aSystem.restartUpstream(0);
      return;
    case Scenario::LateReports:
      for (int i = 0; i < kUpstreams; ++i) {
        aSystem.setUpstream(i, "report_lag_ms=500");
      }
      return;
    case Scenario::LogOutage:
      aSystem.setLog("hang=1");
      return;
    default:
      return;
  }
}

void
takeBack(TestSystem& aSystem, Scenario aScenario)
{
  for (int i = 0; i < kUpstreams; ++i) {
    aSystem.setUpstream(i, "slow_factor=1&failing=0&leaving=0&report_lag_ms=0");
  }
  if (aScenario == Scenario::ThreeDrain) {
    for (int i = 0; i < 3; ++i) {
      aSystem.restartUpstream(i);
    }
  }
  aSystem.setLog("hang=0");
  test::runEventsFor(2500); // past the cold period of what has been started anew
}

std::vector<SharedQueueCall>
toBoundCalls(const std::vector<LoadResult>& aResults, Instant aStart)
{
  std::vector<SharedQueueCall> calls;
  calls.reserve(aResults.size());
  for (const auto& it : aResults) {
    calls.push_back({ it.dueAt - aStart, serviceOf(it.request) });
  }
  return calls;
}

double
quietShare(const std::vector<LoadResult>& aResults)
{
  std::size_t calls = 0;
  std::size_t answered = 0;
  for (const auto& it : aResults) {
    const bool isQuiet =
      it.kind == "standard" &&
      http::findHeader(it.request.headers, "Masticwall-Caller") != "noisy";
    calls += isQuiet ? 1 : 0;
    answered += isQuiet && it.outcome == "answered" ? 1 : 0;
  }
  return calls == 0 ? 0.0 : static_cast<double>(answered) / static_cast<double>(calls);
}

ScenarioReport
makeReport(const std::vector<LoadResult>& aResults,
           Instant aStart,
           std::chrono::seconds aTime)
{
  ScenarioReport report;
  const auto seconds = static_cast<double>(aTime.count());
  Duration served{ 0 };
  for (const auto& it : aResults) {
    served += it.outcome == "answered" ? serviceOf(it.request) : Duration{ 0 };
  }
  report.slotShare =
    std::chrono::duration<double>(served).count() / (seconds * kUpstreams * kSlots);
  for (const auto& it : EnumTable<Rank>::kEntries) {
    auto& rank = report.ranks[indexOf(it.value)];
    rank = RankReport::of(aResults, std::string(it.name), kTarget);
    report.worthPerSecond += kWorth[indexOf(it.value)] * rank.inTarget *
                             static_cast<double>(rank.calls) / seconds;
  }
  const auto bound =
    sharedQueueLatencies(toBoundCalls(aResults, aStart), kUpstreams * kSlots);
  report.boundP99 = static_cast<double>(test::percentile(bound, 0.99).count()) / 1e6;
  report.quietAnswered = quietShare(aResults);
  return report;
}

} // namespace

test::SystemPlan
makePolicyPlan()
{
  test::SystemPlan plan;
  plan.vms = kVms;
  plan.workers = 2;
  plan.services = { { "field", kUpstreams, kSlots }, { "orders", 8, 6 } };
  plan.serviceMs = kServiceMs;
  plan.coldMs = 1500;
  plan.preset = makePolicyPreset({});
  return plan;
}

std::string
makePolicyPreset(const PolicySettings& aPolicy)
{
  std::string text = "name = \"test\"\n"
                     "[ranks.urgent]\ntarget_ms = 250\nfloor = 0.5\nworth = 100\n"
                     "[ranks.standard]\ntarget_ms = 250\nfloor = 0.2\nworth = 5\n"
                     "[ranks.bulk]\ntarget_ms = 250\nfloor = 0.1\nworth = 1\n"
                     "[measuring]\nvms = 4\n[limits]\nchoice = \"" +
                     std::string(nameOf(aPolicy.choice)) +
                     "\"\novercommit = " + std::to_string(aPolicy.overcommit) + "\n";
  text += "[[service]]\nname = \"field\"\nslots = 4\n";
  for (const auto& it : EnumTable<Rank>::kEntries) {
    text += "[[service.route]]\nmethod = \"GET\"\npath = \"/field/" +
            std::string(it.name) + "\"\nrank = \"" + std::string(it.name) +
            "\"\ndeadline_ms = 8000\n";
  }
  text +=
    "[[service]]\nname = \"orders\"\nslots = 6\n[[service.route]]\nmethod = \"POST\"\n"
    "path = \"/orders\"\nrank = \"urgent\"\nidempotent = false\ndeadline_ms = 3000\n";
  return text;
}

ScenarioReport
runScenario(TestSystem& aSystem,
            Scenario aScenario,
            std::uint64_t aSeed,
            std::chrono::seconds aTime)
{
  const auto loads = loadOf(aScenario);
  double rate = 0.0;
  for (const auto it : loads) {
    rate += it * kCapacity;
  }
  std::vector<LoadRun::Target> targets;
  targets.reserve(kVms);
  for (int i = 0; i < kVms; ++i) {
    targets.push_back({ aSystem.vmHost(i), TestSystem::kCallerPort });
  }
  const auto call = [aScenario](std::uint64_t aIndex, std::mt19937_64& aRandom) {
    return makeCall(aScenario, aIndex, aRandom);
  };
  LoadRun load(targets, rate, aSeed);
  // The fault comes at the end of the warm-up; its first second counts.
  load.run(kWarmUp, call);
  bring(aSystem, aScenario);
  const Instant start = std::chrono::steady_clock::now();
  const auto results = load.run(aTime, call);
  takeBack(aSystem, aScenario);
  return makeReport(results, start, aTime);
}

} // namespace masticwall::bench
