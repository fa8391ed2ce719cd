#include <catch2/catch.hpp>
#include <decide/LoadQueryScope.h>

using namespace masticwall;

TEST_CASE(
  "the first round looks at some upstreams and slots, later ones at the best only")
{
  Limits limits;
  limits.loadQueries = 3;
  limits.loadQuerySlots = 12;
  const auto first = LoadQueryScope::ofRound(limits, 0);
  CHECK(first.upstreams == 3);
  CHECK(first.slots == 12);
  const auto second = LoadQueryScope::ofRound(limits, 1);
  CHECK(second.upstreams == 1);
  CHECK(second.slots == 0);
}
