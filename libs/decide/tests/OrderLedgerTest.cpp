#include "ManualClock.h"
#include <catch2/catch.hpp>
#include <decide/OrderLedger.h>
#include <string>

using namespace masticwall;

namespace {

using Ledger = OrderLedger<std::string>;

Digest
digest(std::uint8_t aByte)
{
  Digest digest;
  digest.bytes[0] = aByte;
  return digest;
}

std::shared_ptr<const std::string>
response(const std::string& aText)
{
  return std::make_shared<const std::string>(aText);
}

} // namespace

TEST_CASE("an order is sent once, and settling it returns its waiters")
{
  Ledger ledger(1000);
  auto& record = ledger.add({ "vm", 1, 5 }, digest(1), digest(2), Instant{});
  record.waiters.push_back(42);
  CHECK(ledger.markSent(5));
  CHECK_FALSE(ledger.markSent(5));
  CHECK(ledger.settle(5, OrderState::Answered, response("x"), 1) ==
        std::vector<std::uint64_t>{ 42 });
  CHECK(ledger.settle(5, OrderState::Unknown, nullptr, 0).empty());
  CHECK(ledger.findKey(digest(1))->state == OrderState::Answered);
}

TEST_CASE("an order that was not run releases its key but is found by its claim")
{
  Ledger ledger(1000);
  ledger.add({ "vm", 1, 5 }, digest(1), digest(2), Instant{});
  ledger.settle(5, OrderState::NotRun, nullptr, 0);
  CHECK(ledger.findKey(digest(1)) == nullptr);
  CHECK(ledger.findClaim(5)->state == OrderState::NotRun);
  CHECK_FALSE(ledger.markSent(5));
}

TEST_CASE("an order can be sent again if the upstream states that it did not run it")
{
  Ledger ledger(1000);
  ledger.add({ "vm", 1, 5 }, digest(1), digest(2), Instant{});
  CHECK_FALSE(ledger.markNotSent(5));
  CHECK(ledger.markSent(5));
  CHECK(ledger.markNotSent(5));
  CHECK(ledger.markSent(5));
}

TEST_CASE("beyond the memory limit the oldest response is evicted and its order Unknown")
{
  Ledger ledger(100);
  for (std::uint64_t i = 0; i < 3; ++i) {
    ledger.add(
      { "vm", 1, i }, digest(static_cast<std::uint8_t>(i)), digest(9), Instant{});
    ledger.markSent(i);
    ledger.settle(i, OrderState::Answered, response("x"), 45);
  }
  CHECK(ledger.findClaim(0)->state == OrderState::Unknown);
  CHECK(ledger.findClaim(0)->response == nullptr);
  CHECK(ledger.findClaim(1)->state == OrderState::Answered);
  CHECK(ledger.findClaim(2)->state == OrderState::Answered);
}

TEST_CASE("old settled records are removed, unsettled ones are kept")
{
  test::ManualClock time;
  Ledger ledger(1000);
  ledger.add({ "vm", 1, 1 }, digest(1), digest(9), time.now());
  ledger.markSent(1);
  ledger.settle(1, OrderState::Answered, response("x"), 1);
  ledger.add({ "vm", 1, 2 }, digest(2), digest(9), time.now());
  time.advance(10s);
  ledger.removeSettled(time.now());
  CHECK(ledger.findClaim(1) == nullptr);
  CHECK(ledger.findKey(digest(1)) == nullptr);
  CHECK(ledger.findClaim(2) != nullptr);
}
