#include "ManualClock.h"
#include <catch2/catch.hpp>
#include <decide/QuotaIssuer.h>

using namespace masticwall;
using namespace masticwall::test;

namespace {

QuotaTerms
termsFor(double aPerSecond, double aBurst = 10.0)
{
  Tenant tenant;
  tenant.perSecond = aPerSecond;
  tenant.burst = aBurst;
  return *QuotaTerms::of(tenant, { 5s, 0.1, 20.0 });
}

QuotaRequest
requestFor(int aNeeded, int aAhead = 0, int aReturned = 0)
{
  return { "t-1", aNeeded, aAhead, aReturned };
}

} // namespace

TEST_CASE("an account starts with little credit, and is bounded after a lull")
{
  ManualClock clock;
  QuotaIssuer issuer;
  const auto terms = termsFor(5.0);
  CHECK(issuer.issue(requestFor(100), terms, false, clock.now()).permits ==
        static_cast<int>(terms.initial));
  clock.advance(std::chrono::hours(1));
  CHECK(issuer.issue(requestFor(100), terms, false, clock.now()).permits ==
        static_cast<int>(terms.capacity));
}

TEST_CASE("credit adds up to the quota whoever asks and how often")
{
  ManualClock clock;
  QuotaIssuer issuer;
  const auto terms = termsFor(5.0);
  issuer.issue(requestFor(100), terms, false, clock.now());
  int permits = 0;
  for (int i = 0; i < 10'000; ++i) {
    permits +=
      issuer.issue(requestFor(1 + i % 3, i % 2), terms, false, clock.now()).permits;
    clock.advance(10ms);
  }
  CHECK(permits >= 499);
  CHECK(permits <= 501);
}

TEST_CASE("while credit is scarce, calls that wait come before expected ones")
{
  ManualClock clock;
  QuotaIssuer issuer;
  const auto terms = termsFor(100.0, 0.0);
  issuer.issue(requestFor(100), terms, false, clock.now());
  clock.advance(40ms);
  const auto grant = issuer.issue(requestFor(3, 50), terms, false, clock.now());
  CHECK(grant.permits == 3);
  CHECK(grant.nextIn == Duration{ 0 });
  clock.advance(40ms);
  CHECK(issuer.issue(requestFor(0, 50), terms, false, clock.now()).permits == 2);
}

TEST_CASE("a refused call may come back when there is credit for it and for those before")
{
  ManualClock clock;
  QuotaIssuer issuer;
  const auto terms = termsFor(5.0);
  issuer.issue(requestFor(100), terms, false, clock.now());
  clock.advance(std::chrono::minutes(2));
  issuer.removeUnused(clock.now());
  CHECK(issuer.size() == 0);
  issuer.issue(requestFor(static_cast<int>(terms.initial)), terms, false, clock.now());
  const auto first = issuer.issue(requestFor(1), terms, false, clock.now());
  CHECK(first.permits == 0);
  CHECK(first.nextIn <= 200ms);
  CHECK(first.retryAfter > 0ms);
  CHECK(first.retryAfter <= 200ms);
  const auto second = issuer.issue(requestFor(1), terms, false, clock.now());
  CHECK(second.retryAfter >= first.retryAfter + 190ms);
  clock.advance(second.retryAfter + std::chrono::microseconds(1));
  CHECK(issuer.issue(requestFor(2), terms, false, clock.now()).permits == 2);
}

TEST_CASE("permits that were not used are issued again, up to the capacity")
{
  ManualClock clock;
  QuotaIssuer issuer;
  const auto terms = termsFor(5.0);
  issuer.issue(requestFor(100), terms, false, clock.now());
  CHECK(issuer.issue(requestFor(5, 0, 3), terms, false, clock.now()).permits == 3);
  CHECK(issuer.issue(requestFor(1'000, 0, 1'000), terms, false, clock.now()).permits ==
        static_cast<int>(terms.capacity));
}

TEST_CASE(
  "a quota that is lowered binds at once, and one that is raised earns from now on")
{
  ManualClock clock;
  QuotaIssuer issuer;
  issuer.issue(requestFor(1), termsFor(1'000.0, 500.0), false, clock.now());
  clock.advance(std::chrono::seconds(10));
  const auto low = termsFor(2.0, 0.0);
  CHECK(issuer.issue(requestFor(1'000), low, false, clock.now()).permits ==
        static_cast<int>(low.capacity));
  clock.advance(std::chrono::seconds(1));
  CHECK(issuer.issue(requestFor(1'000), termsFor(1'000.0, 500.0), false, clock.now())
          .permits == 2);
}

TEST_CASE("a VM without contact to others issues a small part")
{
  ManualClock clock;
  QuotaIssuer issuer;
  const auto terms = termsFor(100.0);
  issuer.issue(requestFor(100), terms, true, clock.now());
  int permits = 0;
  for (int i = 0; i < 100; ++i) {
    clock.advance(100ms);
    permits += issuer.issue(requestFor(50), terms, true, clock.now()).permits;
  }
  CHECK(permits <= 10.0 * terms.perSecondAlone + 1.0);
  CHECK(permits >= 10.0 * terms.perSecondAlone - 1.0);
}
