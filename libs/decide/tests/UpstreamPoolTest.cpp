#include "ManualClock.h"
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
  Fixture() { setUpstreams({ "a", "b", "c" }, "1"); }

  void setUpstreams(const std::vector<std::string>& aNames, const std::string& aInstance)
  {
    std::vector<UpstreamAddress> addresses{ { "far", "s", "litoral", "", 1, "1" } };
    for (const auto& it : aNames) {
      addresses.push_back({ it, "s", "sertao", "", 1, aInstance });
    }
    mPool.update(addresses, 4, mTime.now());
  }

  std::string choose(LoadBalancingPolicy aPolicy = LoadBalancingPolicy::FewestInFlight,
                     const std::vector<std::string>& aExcluded = {})
  {
    const auto* const chosen =
      mPool.choose(aPolicy, "sertao", { kMaxInFlight, aExcluded }, mTime.now(), mRandom);
    return chosen == nullptr ? "" : chosen->address.name;
  }

  void finish(const std::string& aName, AttemptOutcome aOutcome)
  {
    mPool.recordAttemptEnd(aName, aOutcome, 1ms, mTime.now());
  }

  std::map<std::string, int> countChoices(int aCalls, LoadBalancingPolicy aPolicy)
  {
    std::map<std::string, int> counts;
    for (int i = 0; i < aCalls; ++i) {
      const auto name = choose(aPolicy);
      ++counts[name];
      finish(name, AttemptOutcome::Answered);
    }
    return counts;
  }

  UpstreamPool& pool() { return mPool; }
  test::ManualClock& time() { return mTime; }

private:
  test::ManualClock mTime;
  std::mt19937_64 mRandom{ 7 };
  UpstreamPool mPool;
};

} // namespace

TEST_CASE("the same seed and inputs give the same choices")
{
  Fixture one;
  Fixture two;
  for (int i = 0; i < 100; ++i) {
    CHECK(one.choose() == two.choose());
  }
}

TEST_CASE("fewest-in-flight distributes calls evenly")
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

TEST_CASE("no upstream gets more than the maximum of calls in flight")
{
  Fixture fixture;
  for (int i = 0; i < 3 * kMaxInFlight; ++i) {
    CHECK_FALSE(fixture.choose().empty());
  }
  CHECK(fixture.choose().empty());
}

TEST_CASE("the weight of a load report decreases with its age")
{
  Fixture fixture;
  fixture.pool().reportLoad("a", { 4, 8, fixture.time().now() });
  CHECK(fixture.countChoices(300, LoadBalancingPolicy::AgedLoad)["a"] < 15);
  fixture.time().advance(2s);
  CHECK(fixture.countChoices(300, LoadBalancingPolicy::AgedLoad)["a"] > 60);
}

TEST_CASE("back-off keeps calls away from an upstream that fails fast")
{
  Fixture fixture;
  int failures = 0;
  for (int i = 0; i < 200; ++i) {
    const auto name = fixture.choose();
    const bool isFailing = name == "a";
    failures += isFailing ? 1 : 0;
    fixture.finish(name, isFailing ? AttemptOutcome::Failed : AttemptOutcome::Answered);
    fixture.time().advance(1ms);
  }
  // Back-offs of 100 ms and 200 ms allow two or three attempts within the 200 ms.
  CHECK(failures <= 3);
}

TEST_CASE("if every upstream is in back-off, one is selected all the same")
{
  Fixture fixture;
  for (const auto* const it : { "a", "b", "c" }) {
    fixture.finish(it, AttemptOutcome::Failed);
  }
  CHECK_FALSE(fixture.choose().empty());
}

TEST_CASE("a new instance gets few calls during slow start")
{
  Fixture fixture;
  fixture.time().advance(10s);
  std::vector<UpstreamAddress> addresses{ { "a", "s", "sertao", "", 1, "1" },
                                          { "b", "s", "sertao", "", 1, "2" } };
  fixture.pool().update(addresses, 4, fixture.time().now());
  int callsToNew = 0;
  for (int i = 0; i < 10; ++i) {
    callsToNew += fixture.choose() == "b" ? 1 : 0;
  }
  CHECK(callsToNew <= 1);
}

TEST_CASE("a leaving upstream gets no calls until another instance of it is listed")
{
  Fixture fixture;
  fixture.pool().markLeaving({ "a", "s", "sertao", "", 1, "1" }, fixture.time().now());
  fixture.setUpstreams({ "a", "b", "c" }, "1");
  CHECK(fixture.countChoices(100, LoadBalancingPolicy::Random)["a"] == 0);
  fixture.setUpstreams({ "a", "b", "c" }, "2");
  fixture.time().advance(10s);
  CHECK(fixture.countChoices(100, LoadBalancingPolicy::Random)["a"] > 0);
}

TEST_CASE("excluded upstreams are not selected")
{
  Fixture fixture;
  for (int i = 0; i < 20; ++i) {
    CHECK(fixture.choose(LoadBalancingPolicy::Random, { "a", "b" }) == "c");
    fixture.finish("c", AttemptOutcome::Answered);
  }
}

TEST_CASE("a slow upstream gets only trial calls until it has recovered")
{
  Fixture fixture;
  const auto runCalls = [&](int aCalls, Duration aLatencyOfA) {
    int n = 0;
    for (int i = 0; i < aCalls; ++i) {
      const auto name = fixture.choose(LoadBalancingPolicy::Random);
      n += name == "a" ? 1 : 0;
      fixture.pool().recordAttemptEnd(name,
                                      AttemptOutcome::Answered,
                                      name == "a" ? aLatencyOfA : 10ms,
                                      fixture.time().now());
      fixture.time().advance(1ms);
    }
    return n;
  };
  CHECK(runCalls(300, 10ms) > 60);
  CHECK(runCalls(300, 100ms) < 12);
  // One trial call every two seconds.
  CHECK(runCalls(4000, 100ms) <= 3);
  runCalls(2500, 10ms);
  CHECK(runCalls(300, 10ms) > 60);
}

TEST_CASE("repeated fast error responses cause back-off, a single one does not")
{
  Fixture fixture;
  fixture.finish("a", AttemptOutcome::ErrorResponse);
  CHECK(fixture.countChoices(90, LoadBalancingPolicy::Random)["a"] > 15);
  int errors = 0;
  for (int i = 0; i < 200; ++i) {
    const auto name = fixture.choose();
    const bool isFailing = name == "a";
    errors += isFailing ? 1 : 0;
    fixture.finish(name,
                   isFailing ? AttemptOutcome::ErrorResponse : AttemptOutcome::Answered);
    fixture.time().advance(1ms);
  }
  // The second error starts a back-off of 100 ms, the third one of 200 ms.
  CHECK(errors <= 4);
}
