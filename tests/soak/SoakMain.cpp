#include "SoakRun.h"
#include <CLI/CLI.hpp>
#include <QCoreApplication>
#include <cstdio>

using namespace masticwall;
using namespace masticwall::test;

namespace {

struct SoakOptions
{
  std::uint64_t seed = 1;
  int seeds = 1;
  double minutes = 0.5;
  int processes = 8;
  bool isShrinking = false;
  bool isQuiet = false;
};

std::optional<BrokenPromise>
play(const SoakPlan& aPlan, bool aIsQuiet)
{
  SoakRun run(aPlan);
  auto broken = run.run([&](Duration aElapsed) {
    if (!aIsQuiet) {
      std::printf("seed=%llu at_s=%lld\n",
                  static_cast<unsigned long long>(aPlan.seed),
                  static_cast<long long>(aElapsed / 1s));
      std::fflush(stdout);
    }
  });
  const auto& figures = run.figures();
  std::printf("seed=%llu faults=%zu requests=%zu served=%zu refused=%zu cut=%zu %s\n",
              static_cast<unsigned long long>(aPlan.seed),
              figures.faults,
              figures.requests,
              figures.served,
              figures.refused,
              figures.cut,
              broken.has_value() ? "BROKEN" : "held");
  std::fflush(stdout);
  return broken;
}

void
print(const SoakPlan& aPlan, const BrokenPromise& aBroken)
{
  std::printf("broken=%s what=\"%s\" request=%s\nschedule of seed %llu:\n%s%s\n",
              std::string(nameOf(aBroken.promise)).c_str(),
              aBroken.what.c_str(),
              aBroken.request.empty() ? "-" : aBroken.request.c_str(),
              static_cast<unsigned long long>(aPlan.seed),
              aPlan.describe().c_str(),
              aBroken.story.toUtf8().constData());
}

/** Drops faults one by one, as long as the same promise is broken without them. */
SoakPlan
shrink(SoakPlan aPlan, SoakPromise aPromise)
{
  for (std::size_t i = aPlan.faults.size(); i-- > 0;) {
    const auto smaller = aPlan.without(i);
    const auto broken = play(smaller, true);
    if (broken.has_value() && broken->promise == aPromise) {
      aPlan = smaller;
    }
  }
  return aPlan;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  QCoreApplication app(aArgc, aArgv);
  SoakOptions options;
  CLI::App cli(
    "Plays faults on a whole system of real processes, and checks what callers "
    "and upstreams see.");
  cli.add_option("--seed", options.seed, "The first seed.")->capture_default_str();
  cli.add_option("--seeds", options.seeds, "How many seeds to play.")
    ->capture_default_str();
  cli.add_option("--minutes", options.minutes, "Length of the faults of each seed.")
    ->capture_default_str();
  cli.add_option("--processes", options.processes, "Gateways and upstreams.")
    ->capture_default_str()
    ->check(CLI::Range(4, 250));
  cli.add_flag("--shrink", options.isShrinking, "Look for fewer faults that fail, too.");
  cli.add_flag("--quiet", options.isQuiet, "One line for each seed.");
  try {
    cli.parse(aArgc, aArgv);
  } catch (const CLI::ParseError& error) {
    return cli.exit(error);
  }
  const auto length = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::ratio<60>>(options.minutes));
  int failures = 0;
  for (int i = 0; i < options.seeds; ++i) {
    auto plan = SoakPlan::draw(
      options.seed + static_cast<std::uint64_t>(i), options.processes, length);
    const auto broken = play(plan, options.isQuiet);
    if (broken.has_value()) {
      ++failures;
      if (options.isShrinking) {
        plan = shrink(plan, broken->promise);
      }
      print(plan, *broken);
    }
  }
  std::printf("%d passed, %d failed\n", options.seeds - failures, failures);
  return failures == 0 ? 0 : 1;
}
