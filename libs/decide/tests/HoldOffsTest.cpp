#include "ManualClock.h"
#include <catch2/catch.hpp>
#include <decide/UpstreamPool.h>
#include <set>

using namespace masticwall;

namespace {

constexpr int kVms = 300;
constexpr Duration kRetryAfter = 2s;
constexpr Duration kStep = 10ms;

UpstreamAddress
makeUpstream(const std::string& aName, const std::string& aInstance = "1")
{
  return { aName, "s", "sertao", "10.0.0.1", 80, aInstance, "petrolina", 4 };
}

/** One VM's view of a service with two upstreams. */
struct VmView
{
  explicit VmView(std::uint64_t aSeed, Instant aNow)
    : random(aSeed)
  {
    pool.update({ makeUpstream("a"), makeUpstream("b") }, 4, aNow);
  }

  std::string choose(Instant aNow)
  {
    const auto* const chosen =
      pool.choose(LoadBalancingPolicy::FewestInFlight, "sertao", { 15 }, aNow, random);
    return chosen == nullptr ? "" : chosen->address.name;
  }

  std::mt19937_64 random;
  UpstreamPool pool;
};

} // namespace

TEST_CASE("300 VMs send nothing to an upstream that refused them, and return spread out")
{
  test::ManualClock clock;
  std::vector<VmView> vms;
  vms.reserve(kVms);
  for (int i = 0; i < kVms; ++i) {
    vms.emplace_back(static_cast<std::uint64_t>(i), clock.now());
  }
  // "b" is full for good, so that "a" is the only choice of each call; it refuses the
  // first call of every VM, and once more when the VM comes back.
  for (int round = 0; round < 2; ++round) {
    const auto refusedAt = clock.now();
    for (auto& it : vms) {
      for (const auto* const name : { "a", "b" }) {
        it.pool.holdOff(makeUpstream(name), kRetryAfter, clock.now(), it.random);
      }
    }
    std::set<int> returned;
    int mostAtOnce = 0;
    while (static_cast<int>(returned.size()) < kVms) {
      clock.advance(kStep);
      int atOnce = 0;
      for (int i = 0; i < kVms; ++i) {
        const bool isSent = returned.count(i) == 0 &&
                            !vms[static_cast<std::size_t>(i)].choose(clock.now()).empty();
        if (isSent) {
          returned.insert(i);
          ++atOnce;
        }
      }
      if (clock.now() - refusedAt < kRetryAfter) {
        REQUIRE(atOnce == 0);
      }
      mostAtOnce = std::max(mostAtOnce, atOnce);
      REQUIRE(clock.now() - refusedAt < 2 * kRetryAfter);
    }
    CHECK(mostAtOnce < kVms / 10);
    for (auto& it : vms) {
      it.pool.recordAttemptEnd("a", AttemptOutcome::Shed, 0ms, clock.now());
      it.pool.recordAttemptEnd("b", AttemptOutcome::Shed, 0ms, clock.now());
    }
  }
}

TEST_CASE("a hold-off is prolonged, but not cut short")
{
  test::ManualClock clock;
  std::mt19937_64 random{ 1 };
  HoldOffs holdOffs;
  const auto first = holdOffs.extend(makeUpstream("a"), 10s, clock.now(), random);
  CHECK(first >= clock.now() + 10s);
  CHECK(holdOffs.extend(makeUpstream("a"), 1s, clock.now(), random) == first);
  CHECK(holdOffs.extend(makeUpstream("a"), 20s, clock.now(), random) >=
        clock.now() + 20s);
  CHECK(holdOffs.until(makeUpstream("b")) < clock.now());
  CHECK(holdOffs.until(makeUpstream("a", "2")) < clock.now());
}

TEST_CASE("a hold-off outlasts a list without the upstream, but not its instance")
{
  test::ManualClock clock;
  VmView vm(1, clock.now());
  vm.pool.holdOff(makeUpstream("a"), 60s, clock.now(), vm.random);
  vm.pool.update({ makeUpstream("b") }, 4, clock.now());
  vm.pool.update({ makeUpstream("a"), makeUpstream("b") }, 4, clock.now());
  clock.advance(10s);
  for (int i = 0; i < 10; ++i) {
    CHECK(vm.choose(clock.now()) == "b");
  }
  vm.pool.update({ makeUpstream("a", "2") }, 4, clock.now());
  clock.advance(10s);
  CHECK(vm.choose(clock.now()) == "a");
}

TEST_CASE("a held-off upstream gets no load queries either")
{
  test::ManualClock clock;
  VmView vm(1, clock.now());
  const Locality locality{ "sertao", "petrolina", 0ms, 0ms };
  const auto countStale = [&] {
    return vm.pool
      .staleTopCandidates(locality, { 15 }, { 8, 100 }, 0ms, clock.now(), vm.random)
      .size();
  };
  CHECK(countStale() == 2);
  vm.pool.holdOff(makeUpstream("a"), 5s, clock.now(), vm.random);
  CHECK(countStale() == 1);
  vm.pool.markLeaving(makeUpstream("b"), clock.now());
  CHECK(countStale() == 0);
}

TEST_CASE("a service is unavailable until the earliest hold-off ends")
{
  test::ManualClock clock;
  VmView vm(1, clock.now());
  CHECK(vm.pool.availability(Rank::Standard, clock.now()).isAvailable);
  const auto early = vm.pool.holdOff(makeUpstream("a"), 1s, clock.now(), vm.random);
  CHECK(vm.pool.availability(Rank::Standard, clock.now()).isAvailable);
  vm.pool.holdOff(makeUpstream("b"), 9s, clock.now(), vm.random);
  CHECK_FALSE(vm.pool.availability(Rank::Standard, clock.now()).isAvailable);
  CHECK(vm.pool.availability(Rank::Standard, clock.now()).nextAt == early);
  vm.pool.markLeaving(makeUpstream("a"), clock.now());
  CHECK(vm.pool.availability(Rank::Standard, clock.now()).nextAt > early);
  vm.pool.markLeaving(makeUpstream("b"), clock.now());
  CHECK_FALSE(vm.pool.availability(Rank::Standard, clock.now()).isAvailable);
  CHECK_FALSE(vm.pool.availability(Rank::Standard, clock.now()).nextAt.has_value());
}
