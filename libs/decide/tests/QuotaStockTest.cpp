#include "ManualClock.h"
#include <catch2/catch.hpp>
#include <decide/QuotaStock.h>

using namespace masticwall;
using namespace masticwall::test;

namespace {

const QuotaTerms kTerms;

QuotaGrant
grantOf(int aPermits, Duration aNextIn = Duration{ 0 }, Duration aRetryAfter = {})
{
  return { "t-1", true, aPermits, aNextIn, aRetryAfter };
}

} // namespace

TEST_CASE("a call without a permit waits, and goes on with the reply")
{
  ManualClock clock;
  QuotaStock stock;
  CHECK(stock.draw(7, clock.now()) == QuotaVerdict::Waiting);
  const auto request = stock.nextRequest(kTerms, clock.now());
  REQUIRE(request.has_value());
  CHECK(request->needed == 1);
  CHECK(request->ahead == 0);
  CHECK_FALSE(stock.nextRequest(kTerms, clock.now()).has_value());
  const auto decisions = stock.add(grantOf(1), kTerms, clock.now());
  CHECK(decisions.granted == std::vector<std::uint64_t>{ 7 });
  CHECK(decisions.refused.empty());
}

TEST_CASE(
  "calls for which there are too few permits are refused, and further ones at once "
  "until the VM may ask again")
{
  ManualClock clock;
  QuotaStock stock;
  for (std::uint64_t i = 0; i < 3; ++i) {
    stock.draw(i, clock.now());
  }
  CHECK(stock.nextRequest(kTerms, clock.now())->needed == 3);
  CHECK(stock.draw(3, clock.now()) == QuotaVerdict::Waiting); // in no request yet
  const auto decisions = stock.add(grantOf(1, 50ms, 700ms), kTerms, clock.now());
  CHECK(decisions.granted == std::vector<std::uint64_t>{ 0 });
  CHECK(decisions.refused == std::vector<std::uint64_t>{ 1, 2 });
  CHECK(stock.waiting() == 1);
  CHECK(stock.draw(4, clock.now()) == QuotaVerdict::Refused);
  CHECK(stock.retryAfter(clock.now()) == 700ms);
  clock.advance(50ms);
  CHECK(stock.draw(5, clock.now()) == QuotaVerdict::Waiting);
}

TEST_CASE("permits are requested ahead by the recent rate, before the stock is empty")
{
  ManualClock clock;
  QuotaStock stock;
  int waited = 0;
  int requests = 0;
  constexpr int kCalls = 2'000;
  for (int i = 0; i < kCalls; ++i) { // 200 a second; a reply takes 10 ms
    clock.advance(5ms);
    const auto verdict = stock.draw(static_cast<std::uint64_t>(i), clock.now());
    waited += verdict == QuotaVerdict::Granted ? 0 : 1;
    if (const auto request = stock.nextRequest(kTerms, clock.now())) {
      ++requests;
      stock.add(grantOf(request->needed + request->ahead), kTerms, clock.now() + 10ms);
    }
  }
  CHECK(waited < kCalls / 50);
  CHECK(requests < kCalls / 5);
}

TEST_CASE("permits that expire, and those of calls that are not sent, are not lost")
{
  ManualClock clock;
  QuotaStock stock;
  stock.draw(1, clock.now());
  stock.nextRequest(kTerms, clock.now());
  stock.add(grantOf(4), kTerms, clock.now());
  CHECK(stock.permits() == 3);
  CHECK(stock.draw(2, clock.now()) == QuotaVerdict::Granted);
  stock.giveBack(clock.now() + kTerms.stockLifetime, clock.now());
  CHECK(stock.permits() == 3);
  clock.advance(kTerms.stockLifetime);
  CHECK(stock.draw(3, clock.now()) == QuotaVerdict::Waiting);
  CHECK(stock.nextRequest(kTerms, clock.now())->returned == 3);
}

TEST_CASE("refusals are reported once in a while")
{
  ManualClock clock;
  QuotaStock stock;
  CHECK(stock.recordRefusal(clock.now()));
  clock.advance(1s);
  CHECK_FALSE(stock.recordRefusal(clock.now()));
  clock.advance(11s);
  CHECK(stock.recordRefusal(clock.now()));
  CHECK(stock.refusals() == 3);
}

TEST_CASE("a permit doesn't become younger by being given back")
{
  ManualClock clock;
  QuotaStock stock;
  stock.draw(1, clock.now());
  stock.nextRequest(kTerms, clock.now());
  stock.add(grantOf(2), kTerms, clock.now());
  REQUIRE(stock.draw(2, clock.now()) == QuotaVerdict::Granted);
  const auto until = stock.drawnUntil();
  CHECK(until == clock.now() + kTerms.stockLifetime);
  clock.advance(kTerms.stockLifetime / 2);
  stock.giveBack(until, clock.now());
  REQUIRE(stock.draw(3, clock.now()) == QuotaVerdict::Granted);
  CHECK(stock.drawnUntil() == until);
  clock.advance(kTerms.stockLifetime);
  stock.giveBack(until, clock.now()); // too old by now
  CHECK(stock.permits() == 0);
}
