#include "FaultDriver.h"
#include "OrderDriver.h"
#include "TestSystem.h"
#include "Wait.h"
#include <QJsonObject>
#include <catch2/catch.hpp>

using namespace masticwall;
using namespace masticwall::test;

namespace {

constexpr int kVms = 3;
constexpr int kOrders = 1500;
constexpr double kPerSecond = 120.0;

/** The seeds of every CI run; MASTICWALL_SEED adds one. */
std::vector<std::uint64_t>
seeds()
{
  std::vector<std::uint64_t> list{ 1, 2, 3 };
  if (qEnvironmentVariableIsSet("MASTICWALL_SEED")) {
    list = { qgetenv("MASTICWALL_SEED").toULongLong() };
  }
  return list;
}

bool
isHealthy(TestSystem& aSystem)
{
  for (int i = 0; i < kVms; ++i) {
    if (!aSystem.controlState(i)[QStringLiteral("claimsReady")].toBool() ||
        !aSystem.entryState(i)[QStringLiteral("controlConnected")].toBool()) {
      return false;
    }
  }
  return true;
}

} // namespace

TEST_CASE("under random faults every order's outcome agrees with the ledgers")
{
  for (const auto seed : seeds()) {
    SystemPlan plan;
    plan.vms = kVms;
    plan.proxiesUpstreams = true;
    plan.services = { { "orders", 4, 6 } };
    TestSystem system(plan);
    REQUIRE(system.start());
    OrderDriver orders(system, kVms, seed);
    FaultDriver faults(system, kVms, seed);
    faults.start();
    orders.run(kOrders, kPerSecond);
    faults.stop();
    REQUIRE(waitUntil([&] { return isHealthy(system); }));
    orders.resendUnanswered();

    const auto& account = orders.account();
    const auto disagreements = account.disagreements(system.ledger());
    std::printf("seed=%llu orders=%zu faults=%d answered=%zu not-run=%zu unknown=%zu "
                "none=%zu disagreements=%zu\n",
                static_cast<unsigned long long>(seed),
                account.orders(),
                faults.count(),
                account.count("answered"),
                account.count("not-run"),
                account.count("unknown"),
                account.count("none"),
                disagreements.size());
    for (const auto& it : disagreements) {
      std::printf("  %s\n", it.c_str());
    }
    CHECK(disagreements.empty());
    CHECK(account.orders() == kOrders);
  }
}
