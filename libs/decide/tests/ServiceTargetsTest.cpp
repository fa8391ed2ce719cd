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
  CHECK(targets.lowestMoreUrgentTarget("s", Rank::Urgent) == Duration::max());
  CHECK(targets.lowestMoreUrgentTarget("s", Rank::Standard) == 400ms);
  CHECK(targets.lowestMoreUrgentTarget("s", Rank::Bulk) == 150ms);
  CHECK(targets.lowestMoreUrgentTarget("t", Rank::Standard) == Duration::max());
  CHECK(targets.lowestMoreUrgentTarget("t", Rank::Bulk) == 150ms);
  CHECK(targets.lowestMoreUrgentTarget("other", Rank::Bulk) == Duration::max());
}
