#include <catch2/catch.hpp>
#include <decide/LeavingInstances.h>

using namespace masticwall;

namespace {

const Instant kStart{ std::chrono::hours(1) };

UpstreamAddress
makeUpstream(const std::string& aInstance)
{
  return { "a", "s", "sertao", "10.0.0.1", 80, aInstance };
}

} // namespace

TEST_CASE("an instance stays marked whatever is listed, a new one is not marked")
{
  LeavingInstances leaving;
  CHECK(leaving.mark(makeUpstream("2"), kStart));
  CHECK_FALSE(leaving.mark(makeUpstream("2"), kStart));
  // An older list, then a newer one, then the instance itself again.
  leaving.onListed({ makeUpstream("1") }, kStart + 1s);
  leaving.onListed({ makeUpstream("3") }, kStart + 2s);
  leaving.onListed({}, kStart + 3s);
  leaving.onListed({ makeUpstream("2") }, kStart + 4s);
  CHECK(leaving.contains(makeUpstream("2")));
  CHECK_FALSE(leaving.contains(makeUpstream("1")));
  CHECK_FALSE(leaving.contains(makeUpstream("3")));
}

TEST_CASE("a mark is forgotten only long after its instance was listed last")
{
  LeavingInstances leaving;
  leaving.mark(makeUpstream("1"), kStart);
  leaving.onListed({ makeUpstream("1") }, kStart + std::chrono::hours(10));
  CHECK(leaving.contains(makeUpstream("1")));
  leaving.onListed({}, kStart + std::chrono::hours(10) + std::chrono::minutes(1));
  CHECK(leaving.contains(makeUpstream("1")));
  leaving.onListed({}, kStart + std::chrono::hours(11));
  CHECK_FALSE(leaving.contains(makeUpstream("1")));
}
