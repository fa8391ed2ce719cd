#include "ScenarioRun.h"
#include "Wait.h"
#include <CLI/CLI.hpp>
#include <QCoreApplication>
#include <algorithm>
#include <cstdio>

// bench-policy: compares policies over scenarios on real processes, interleaved, with
// several seeds; prints the median over the seeds and their spread, and writes a CSV.

using namespace masticwall;
using namespace masticwall::bench;

namespace {

constexpr int kColdMs = 3000;

struct Options
{
  std::vector<std::string> choices{ "aged-load" };
  std::vector<double> overcommits{ 1.25 };
  std::vector<std::string> scenarios;
  int seeds = 3;
  int seconds = 4;
  std::string csv = "policy.csv";
};

/** A scenario under a policy: what each seed gave. */
struct Cell
{
  std::string scenario;
  PolicySettings policy;
  std::vector<ScenarioReport> reports;
};

template<class Get>
double
median(const std::vector<ScenarioReport>& aReports, Get aGet)
{
  std::vector<double> values;
  values.reserve(aReports.size());
  for (const auto& it : aReports) {
    values.push_back(aGet(it));
  }
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

void
printRefusals(const std::vector<ScenarioReport>& aReports, Rank aRank)
{
  std::map<std::string, int> reasons;
  for (const auto& report : aReports) {
    for (const auto& [reason, n] : report.ranks[indexOf(aRank)].refusals) {
      reasons[reason] += n;
    }
  }
  for (const auto& [reason, n] : reasons) {
    std::printf("             refused, %s: %d\n", reason.c_str(), n);
  }
}

void
printCell(const Cell& aCell)
{
  const auto& reports = aCell.reports;
  std::printf("%-15s %-16s %4.2f  slots %4.2f  worth/s %8.0f  bound p99 %6.0f ms\n",
              aCell.scenario.c_str(),
              std::string(nameOf(aCell.policy.choice)).c_str(),
              aCell.policy.overcommit,
              median(reports, [](const auto& aReport) { return aReport.slotShare; }),
              median(reports, [](const auto& aReport) { return aReport.worthPerSecond; }),
              median(reports, [](const auto& aReport) { return aReport.boundP99; }));
  for (const auto& it : EnumTable<Rank>::kEntries) {
    const auto rank = [&](auto aMember) {
      return median(reports, [&](const ScenarioReport& aReport) {
        return static_cast<double>(aReport.ranks[indexOf(it.value)].*aMember);
      });
    };
    std::vector<double> p99s;
    p99s.reserve(reports.size());
    for (const auto& report : reports) {
      p99s.push_back(report.ranks[indexOf(it.value)].addedP99);
    }
    const auto [least, most] = std::minmax_element(p99s.begin(), p99s.end());
    std::printf(
      "    %-8s answered %5.1f%% in target %5.1f%% refused %5.1f%%  added p50 %6.1f "
      "p99 %6.1f (%.0f-%.0f) p99.9 %6.1f  total p99 %6.0f  refusal p99 %5.1f ms\n",
      std::string(it.name).c_str(),
      100.0 * rank(&RankReport::answered),
      100.0 * rank(&RankReport::inTarget),
      100.0 * rank(&RankReport::refused),
      rank(&RankReport::addedP50),
      rank(&RankReport::addedP99),
      *least,
      *most,
      rank(&RankReport::addedP999),
      rank(&RankReport::totalP99),
      rank(&RankReport::refusalP99));
    printRefusals(reports, it.value);
  }
  if (aCell.scenario == nameOf(Scenario::NoisyCaller)) {
    std::printf(
      "    other callers of the noisy rank answered %5.1f%%\n",
      100.0 * median(reports, [](const auto& aReport) { return aReport.quietAnswered; }));
  }
  std::fflush(stdout);
}

void
writeCsv(const std::string& aFile, const std::vector<Cell>& aCells)
{
  auto* const file = std::fopen(aFile.c_str(), "w");
  if (file == nullptr) {
    return;
  }
  std::fprintf(
    file,
    "scenario,choice,overcommit,seed,rank,calls,answered,in_target,refused,"
    "added_p50_ms,added_p99_ms,added_p999_ms,total_p99_ms,bound_p99_ms,slots\n");
  for (const auto& cell : aCells) {
    for (std::size_t seed = 0; seed < cell.reports.size(); ++seed) {
      const auto& report = cell.reports[seed];
      for (const auto& it : EnumTable<Rank>::kEntries) {
        const auto& rank = report.ranks[indexOf(it.value)];
        std::fprintf(
          file,
          "%s,%s,%.2f,%zu,%s,%zu,%.4f,%.4f,%.4f,%.2f,%.2f,%.2f,%.2f,%.2f,%.3f\n",
          cell.scenario.c_str(),
          std::string(nameOf(cell.policy.choice)).c_str(),
          cell.policy.overcommit,
          seed + 1,
          std::string(it.name).c_str(),
          rank.calls,
          rank.answered,
          rank.inTarget,
          rank.refused,
          rank.addedP50,
          rank.addedP99,
          rank.addedP999,
          rank.totalP99,
          report.boundP99,
          report.slotShare);
      }
    }
  }
  std::fclose(file);
}

std::vector<Cell>
makeCells(const Options& aOptions)
{
  std::vector<Cell> cells;
  for (const auto& scenario : aOptions.scenarios) {
    for (const auto& choice : aOptions.choices) {
      for (const auto overcommit : aOptions.overcommits) {
        const auto policy = fromName<LoadBalancingPolicy>(choice);
        if (policy.has_value()) {
          cells.push_back({ scenario, { *policy, overcommit }, {} });
        }
      }
    }
  }
  return cells;
}

Options
parseOptions(int aArgc, char** aArgv)
{
  Options options;
  for (const auto& it : EnumTable<Scenario>::kEntries) {
    options.scenarios.emplace_back(it.name);
  }
  CLI::App app("Compares policies over scenarios on real processes.", "bench-policy");
  bool isAll = false;
  app.add_flag("--all", isAll, "Every scenario (the default).");
  app.add_option("--choice", options.choices, "Policies of choice.")->delimiter(',');
  app.add_option("--overcommit", options.overcommits, "Limits of calls in flight.")
    ->delimiter(',');
  app.add_option("--scenario", options.scenarios, "Scenarios.")->delimiter(',');
  app.add_option("--seeds", options.seeds, "Seeds, from 1.");
  app.add_option("--seconds", options.seconds, "Seconds of each run, after the warm-up.");
  app.add_option("--csv", options.csv, "File for every run's figures.");
  try {
    app.parse(aArgc, aArgv);
  } catch (const CLI::ParseError& error) {
    std::exit(app.exit(error));
  }
  return options;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  QCoreApplication app(aArgc, aArgv);
  const auto options = parseOptions(aArgc, aArgv);
  auto cells = makeCells(options);
  test::TestSystem system(makePolicyPlan());
  if (!system.start()) {
    std::printf("the system did not start\n");
    return 1;
  }
  // Past the cold period of the upstreams.
  test::runEventsFor(kColdMs);
  for (int seed = 1; seed <= options.seeds; ++seed) {
    for (auto& cell : cells) {
      if (!system.publishPreset(makePolicyPreset(cell.policy))) {
        std::printf("the preset did not come into force\n");
        return 1;
      }
      cell.reports.push_back(runScenario(system,
                                         *fromName<Scenario>(cell.scenario),
                                         static_cast<std::uint64_t>(seed),
                                         std::chrono::seconds(options.seconds)));
    }
  }
  for (const auto& it : cells) {
    printCell(it);
  }
  writeCsv(options.csv, cells);
  return 0;
}
