#include <catch2/catch.hpp>
#include <decide/ServiceTargets.h>

using namespace masticwall;

TEST_CASE("the lowest latency target of more urgent ranks is found for each service")
{
  Route urgent;
  urgent.service = std::string("s");
  urgent.rank = Rank::Urgent;
  urgent.target = 400ms;
  Route standard;
  standard.split = { { "s", 1.0 }, { "t", 1.0 } };
  standard.rank = Rank::Standard;
  standard.target = 150ms;
  const ServiceTargets targets({ urgent, standard });
  CHECK(targets.lowestTargetAbove("s", Rank::Urgent) == Duration::max());
  CHECK(targets.lowestTargetAbove("s", Rank::Standard) == 400ms);
  CHECK(targets.lowestTargetAbove("s", Rank::Bulk) == 150ms);
  CHECK(targets.lowestTargetAbove("t", Rank::Standard) == Duration::max());
  CHECK(targets.lowestTargetAbove("t", Rank::Bulk) == 150ms);
  CHECK(targets.lowestTargetAbove("other", Rank::Bulk) == Duration::max());
}
