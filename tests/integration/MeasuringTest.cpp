#include "TestSystem.h"
#include "Wait.h"
#include <QElapsedTimer>
#include <catch2/catch.hpp>

using namespace masticwall;
using namespace masticwall::test;

namespace {

constexpr int kVms = 4;
constexpr double kBudget = 4.0; ///< probes a second of each upstream

SystemPlan
makePlan()
{
  SystemPlan plan;
  plan.vms = kVms;
  plan.workers = 1;
  plan.services = { { "lookup", 3, 4 } };
  plan.preset = "name = \"test\"\n[measuring]\nprobes_per_second = 4.0\nvms = 4\n"
                "[[service]]\nname = \"lookup\"\n[[service.route]]\nmethod = \"GET\"\n"
                "path = \"/lookup\"\n";
  return plan;
}

/** Every upstream's ledger shows at most the budget, and one probe more of each VM. */
void
checkBudget(const TestSystem& aSystem, const QElapsedTimer& aSince)
{
  const auto seconds = static_cast<double>(aSince.elapsed()) / 1000.0;
  for (int i = 0; i < aSystem.upstreamCount(); ++i) {
    const auto probes = aSystem.ledgerOf(i).probes;
    CHECK(probes > 0);
    CHECK(probes <= kBudget * seconds + kVms);
  }
}

} // namespace

TEST_CASE("measuring keeps to its budget with all VMs live and with VMs replaced")
{
  TestSystem system(makePlan());
  QElapsedTimer since;
  since.start();
  REQUIRE(system.start());
  runEventsFor(3000);
  checkBudget(system, since);
  for (int vm = 0; vm < kVms; ++vm) {
    system.killVm(vm);
    REQUIRE(system.replaceVm(vm));
    runEventsFor(500);
  }
  checkBudget(system, since);
}

TEST_CASE("measuring keeps to its budget while each VM sees another list")
{
  auto plan = makePlan();
  plan.vmListsDiffer = true;
  TestSystem system(plan);
  QElapsedTimer since;
  since.start();
  REQUIRE(system.start());
  runEventsFor(4000);
  checkBudget(system, since);
}
