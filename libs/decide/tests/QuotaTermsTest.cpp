#include <catch2/catch.hpp>
#include <decide/QuotaTerms.h>
#include <limits>

using namespace masticwall;

namespace {

Tenant
tenantWith(double aPerSecond, double aBurst)
{
  Tenant tenant;
  tenant.name = "t-1";
  tenant.perSecond = aPerSecond;
  tenant.burst = aBurst;
  return tenant;
}

} // namespace

TEST_CASE("a rate that is absent, negative or no number is no limit")
{
  for (const auto it : { 0.0, -1.0, std::nan(""), HUGE_VAL }) {
    CAPTURE(it);
    CHECK_FALSE(QuotaTerms::of(tenantWith(it, 10.0), {}).has_value());
  }
  CHECK(hasValidQuota(tenantWith(0.0, 0.0)));
  CHECK_FALSE(hasValidQuota(tenantWith(-1.0, 0.0)));
  CHECK_FALSE(hasValidQuota(tenantWith(1.0, -1.0)));
  CHECK(QuotaTerms::of(tenantWith(0.1, -5.0), {})->capacity == 1.0);
}

TEST_CASE("all ways to use permits together keep within what is allowed, and nine tenths "
          "of the quota are issued")
{
  for (const auto over : { 0.0, 0.1, 0.5 }) {
    for (const auto slack : { 0.0, 20.0 }) {
      for (const auto perSecond : { 0.1, 3.0, 2000.0 }) {
        CAPTURE(over, slack, perSecond);
        const QuotaTolerance tolerance{ 5s, over, slack };
        const auto tenant = tenantWith(perSecond, 4.0);
        const auto terms = *QuotaTerms::of(tenant, tolerance);
        const auto late =
          std::chrono::duration<double>(terms.stockLifetime + terms.callLifetime).count();
        // A window after a change of the issuer; one permit more is a whole one.
        const auto most = terms.perSecond * (5.0 + late) + terms.capacity +
                          terms.initial + 2 * 5.0 * terms.perSecondAlone;
        const auto allowed = (perSecond * 5.0 + 4.0) * (1.0 + over) + slack;
        CHECK(most <= allowed + 1.0);
        CHECK(terms.perSecond >= 0.9 * perSecond);
        CHECK(terms.capacity >= 4.0);
        CHECK(terms.initial >= 1.0);
      }
    }
  }
}
