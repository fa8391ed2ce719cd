#include "ManualClock.h"
#include <catch2/catch.hpp>
#include <decide/PermitStock.h>

using namespace masticwall;
using namespace masticwall::test;

TEST_CASE("permits are used up, and expire")
{
  ManualClock clock;
  PermitStock stock;
  CHECK_FALSE(stock.tryTake(clock.now()));
  stock.add({ 2, {} }, Rank::Standard, clock.now());
  CHECK(stock.tryTake(clock.now()));
  CHECK(stock.tryTake(clock.now()));
  CHECK_FALSE(stock.tryTake(clock.now()));
  stock.add({ 1, {} }, Rank::Standard, clock.now());
  clock.advance(300ms);
  CHECK(stock.isEmpty(clock.now()));
}

TEST_CASE("a refusal keeps calls of the same rank and less urgent ones from asking")
{
  ManualClock clock;
  PermitStock stock;
  stock.add({ 0, 100ms }, Rank::Standard, clock.now());
  CHECK(stock.nextRequestAt(Rank::Urgent) <= clock.now());
  CHECK(stock.nextRequestAt(Rank::Standard) == clock.now() + 100ms);
  CHECK(stock.nextRequestAt(Rank::Bulk) == clock.now() + 100ms);
}
