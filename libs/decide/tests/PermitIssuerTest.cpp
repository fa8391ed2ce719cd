#include "ManualClock.h"
#include <catch2/catch.hpp>
#include <decide/PermitIssuer.h>

using namespace masticwall;
using namespace masticwall::test;

namespace {

constexpr double kPerSecond = 5.0;

PermitRequest
requestFor(int aWanted, Rank aRank = Rank::Urgent, double aPerSecond = kPerSecond)
{
  return { "i-1", "1", aPerSecond, Duration{ 0 }, aRank, aWanted, false };
}

} // namespace

TEST_CASE("an account starts without credit, and is bounded after a lull")
{
  ManualClock clock;
  PermitIssuer issuer;
  const auto first = issuer.issue(requestFor(10), 1.0, clock.now());
  CHECK(first.permits == 0);
  CHECK(first.nextIn == 200ms);
  clock.advance(200ms);
  CHECK(issuer.issue(requestFor(10), 1.0, clock.now()).permits == 1);
  clock.advance(std::chrono::hours(1));
  CHECK(issuer.issue(requestFor(10), 1.0, clock.now()).permits == 2);
}

TEST_CASE("credit adds up to the limit whoever asks and how often")
{
  ManualClock clock;
  PermitIssuer issuer;
  int permits = 0;
  for (int i = 0; i < 10'000; ++i) {
    permits += issuer.issue(requestFor(1 + i % 3), 1.0, clock.now()).permits;
    clock.advance(1ms);
  }
  CHECK(permits >= 49);
  CHECK(permits <= 50);
}

TEST_CASE("urgent calls get what less urgent ones must leave")
{
  ManualClock clock;
  PermitIssuer issuer;
  issuer.issue(requestFor(1), 1.0, clock.now());
  clock.advance(300ms); // a credit of 1.5
  CHECK(issuer.issue(requestFor(1, Rank::Bulk), 1.0, clock.now()).permits == 0);
  CHECK(issuer.issue(requestFor(1, Rank::Standard), 1.0, clock.now()).permits == 1);
  CHECK(issuer.issue(requestFor(1, Rank::Standard), 1.0, clock.now()).permits == 0);
  clock.advance(100ms);
  CHECK(issuer.issue(requestFor(1, Rank::Standard), 1.0, clock.now()).permits == 0);
  CHECK(issuer.issue(requestFor(1, Rank::Urgent), 1.0, clock.now()).permits == 1);
}

TEST_CASE("the limit that was stated last counts")
{
  ManualClock clock;
  PermitIssuer issuer;
  auto request = requestFor(1000, Rank::Urgent, 100.0);
  issuer.issue(request, 1.0, clock.now());
  auto older = requestFor(1000);
  older.limitAge = 5s;
  issuer.issue(older, 1.0, clock.now());
  clock.advance(100ms);
  CHECK(issuer.issue(request, 1.0, clock.now()).permits == 10);
  issuer.issue(requestFor(1000), 1.0, clock.now());
  clock.advance(200ms);
  CHECK(issuer.issue(requestFor(1000), 1.0, clock.now()).permits == 1);
}

TEST_CASE("a limit of zero lets a trial through now and then")
{
  ManualClock clock;
  PermitIssuer issuer;
  int permits = 0;
  for (int i = 0; i < 400; ++i) {
    permits += issuer.issue(requestFor(1, Rank::Urgent, 0.0), 1.0, clock.now()).permits;
    clock.advance(100ms);
  }
  CHECK(permits > 0);
  CHECK(permits <= 10);
}

TEST_CASE("somewhat more than the limit is issued to calls of last resort")
{
  ManualClock clock;
  PermitIssuer issuer;
  auto request = requestFor(1);
  request.isLastResort = true;
  int permits = 0;
  for (int i = 0; i < 10'000; ++i) {
    permits += issuer.issue(request, 1.0, clock.now()).permits;
    clock.advance(1ms);
  }
  CHECK(permits > 50);
  CHECK(permits <= 58);
}

TEST_CASE("a part of the limit is issued without contact to other VMs")
{
  ManualClock clock;
  PermitIssuer issuer;
  int permits = 0;
  for (int i = 0; i < 10'000; ++i) {
    permits += issuer.issue(requestFor(1), 0.2, clock.now()).permits;
    clock.advance(1ms);
  }
  CHECK(permits >= 9);
  CHECK(permits <= 10);
}

TEST_CASE("accounts that are no longer used are forgotten")
{
  ManualClock clock;
  PermitIssuer issuer;
  issuer.issue(requestFor(1), 1.0, clock.now());
  clock.advance(std::chrono::minutes(2));
  issuer.removeUnused(clock.now());
  CHECK(issuer.size() == 0);
}
