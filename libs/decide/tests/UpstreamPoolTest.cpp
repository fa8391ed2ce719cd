#include "VirtualTime.h"
#include <catch2/catch.hpp>
#include <decide/UpstreamPool.h>
#include <map>

using namespace masticwall;

namespace {

constexpr int kMaxInFlight = 15;

/** Three upstreams in one region and one in another. */
class Fixture
{
public:
  Fixture() { list({ "a", "b", "c" }, "1"); }

  void list(const std::vector<std::string>& aNames, const std::string& aInstance)
  {
    std::vector<UpstreamAddress> addresses{ { "far", "s", "litoral", "", 1, "1" } };
    for (const auto& it : aNames) {
      addresses.push_back({ it, "s", "sertao", "", 1, aInstance });
    }
    mPool.update(addresses, 4, mTime.now());
  }

  std::string choose(ChoicePolicy aPolicy = ChoicePolicy::FewestInFlight,
                     const std::vector<std::string>& aExcluded = {})
  {
    const auto* const chosen =
      mPool.choose(aPolicy, "sertao", kMaxInFlight, aExcluded, mTime.now(), mRandom);
    return chosen == nullptr ? "" : chosen->address.name;
  }

  void finish(const std::string& aName, CallEnd aEnd)
  {
    mPool.finished(aName, aEnd, 1ms, mTime.now());
  }

  std::map<std::string, int> countChoices(int aCalls, ChoicePolicy aPolicy)
  {
    std::map<std::string, int> counts;
    for (int i = 0; i < aCalls; ++i) {
      const auto name = choose(aPolicy);
      ++counts[name];
      finish(name, CallEnd::Answered);
    }
    return counts;
  }

  UpstreamPool& pool() { return mPool; }
  test::VirtualTime& time() { return mTime; }

private:
  test::VirtualTime mTime;
  std::mt19937_64 mRandom{ 7 };
  UpstreamPool mPool;
};

} // namespace

TEST_CASE("the same seed and events give the same choices")
{
  Fixture one;
  Fixture two;
  for (int i = 0; i < 100; ++i) {
    CHECK(one.choose() == two.choose());
  }
}

TEST_CASE("fewest in flight spreads calls evenly")
{
  Fixture fixture;
  std::map<std::string, int> counts;
  for (int i = 0; i < 30; ++i) {
    ++counts[fixture.choose()];
  }
  for (const auto& [name, n] : counts) {
    CHECK(n >= 8);
    CHECK(n <= 12);
  }
}

TEST_CASE("no upstream takes more than the most in flight, and none is left then")
{
  Fixture fixture;
  for (int i = 0; i < 3 * kMaxInFlight; ++i) {
    CHECK_FALSE(fixture.choose().empty());
  }
  CHECK(fixture.choose().empty());
}

TEST_CASE("a reported load counts, and counts less as it ages")
{
  Fixture fixture;
  fixture.pool().reportLoad("a", { 4, 8, fixture.time().now() });
  CHECK(fixture.countChoices(300, ChoicePolicy::AgedLoad)["a"] < 15);
  fixture.time().advance(2s);
  CHECK(fixture.countChoices(300, ChoicePolicy::AgedLoad)["a"] > 60);
}

TEST_CASE("an upstream that fails fast does not look idle")
{
  Fixture fixture;
  int failures = 0;
  for (int i = 0; i < 200; ++i) {
    const auto name = fixture.choose();
    const bool isFailing = name == "a";
    failures += isFailing ? 1 : 0;
    fixture.finish(name, isFailing ? CallEnd::Failed : CallEnd::Answered);
    fixture.time().advance(1ms);
  }
  // Backing off for 100 ms, then 200 ms: two tries or three in the 200 ms.
  CHECK(failures <= 3);
}

TEST_CASE("if every upstream backs off, calls are still tried")
{
  Fixture fixture;
  for (const auto* const it : { "a", "b", "c" }) {
    fixture.finish(it, CallEnd::Failed);
  }
  CHECK_FALSE(fixture.choose().empty());
}

TEST_CASE("a new instance starts slowly")
{
  Fixture fixture;
  fixture.time().advance(10s);
  std::vector<UpstreamAddress> addresses{ { "a", "s", "sertao", "", 1, "1" },
                                          { "b", "s", "sertao", "", 1, "2" } };
  fixture.pool().update(addresses, 4, fixture.time().now());
  int cold = 0;
  for (int i = 0; i < 10; ++i) {
    cold += fixture.choose() == "b" ? 1 : 0;
  }
  CHECK(cold <= 1);
}

TEST_CASE("a leaving instance gets nothing until another instance is listed")
{
  Fixture fixture;
  fixture.pool().markLeaving("a", "1");
  fixture.list({ "a", "b", "c" }, "1");
  CHECK(fixture.countChoices(100, ChoicePolicy::Random)["a"] == 0);
  fixture.list({ "a", "b", "c" }, "2");
  fixture.time().advance(10s);
  CHECK(fixture.countChoices(100, ChoicePolicy::Random)["a"] > 0);
}

TEST_CASE("upstreams that have failed the call are not chosen for it again")
{
  Fixture fixture;
  for (int i = 0; i < 20; ++i) {
    CHECK(fixture.choose(ChoicePolicy::Random, { "a", "b" }) == "c");
    fixture.finish("c", CallEnd::Answered);
  }
}

TEST_CASE(
  "a slow upstream gets one call in a while, and its share again once it recovers")
{
  Fixture fixture;
  const auto runCalls = [&](int aCalls, Duration aLatencyOfA) {
    int n = 0;
    for (int i = 0; i < aCalls; ++i) {
      const auto name = fixture.choose(ChoicePolicy::Random);
      n += name == "a" ? 1 : 0;
      fixture.pool().finished(
        name, CallEnd::Answered, name == "a" ? aLatencyOfA : 10ms, fixture.time().now());
      fixture.time().advance(1ms);
    }
    return n;
  };
  CHECK(runCalls(300, 10ms) > 60);
  CHECK(runCalls(300, 100ms) < 12);
  // One trial in two seconds.
  CHECK(runCalls(4000, 100ms) <= 3);
  runCalls(2500, 10ms);
  CHECK(runCalls(300, 10ms) > 60);
}

TEST_CASE(
  "an upstream that answers errors fast does not look idle, one error is forgiven")
{
  Fixture fixture;
  fixture.finish("a", CallEnd::ErrorAnswer);
  CHECK(fixture.countChoices(90, ChoicePolicy::Random)["a"] > 15);
  int errors = 0;
  for (int i = 0; i < 200; ++i) {
    const auto name = fixture.choose();
    const bool isFailing = name == "a";
    errors += isFailing ? 1 : 0;
    fixture.finish(name, isFailing ? CallEnd::ErrorAnswer : CallEnd::Answered);
    fixture.time().advance(1ms);
  }
  CHECK(errors <= 4);
}
