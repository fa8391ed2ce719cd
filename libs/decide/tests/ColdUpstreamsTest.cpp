#include "ManualClock.h"
#include <catch2/catch.hpp>
#include <decide/ColdUpstreams.h>

using namespace masticwall;
using namespace masticwall::test;

namespace {

UpstreamAddress
listed(bool aIsWarmingUp, const std::string& aInstance = "1")
{
  UpstreamAddress upstream{ "i-1", "lookup", "r", "10.0.0.1", 9000, aInstance };
  upstream.isWarmingUp = aIsWarmingUp;
  return upstream;
}

const UpstreamAddress kUpstream = listed(false);

/** A VM's knowledge, with a warm-up of three seconds. */
struct Knowledge
{
  Knowledge() { upstreams.configure({ 5.0, 3s }); }

  std::size_t list(bool aIsWarmingUp)
  {
    return upstreams.onListed({ listed(aIsWarmingUp) }, clock.now()).size();
  }
  LimitChange state(Duration aLeft)
  {
    return upstreams.record(kUpstream, aLeft, clock.now());
  }
  bool isCold() const { return upstreams.coldUntil(kUpstream) > clock.now(); }

  ManualClock clock;
  ColdUpstreams upstreams;
};

} // namespace

TEST_CASE("an instance is cold from the list that says so to the one that doesn't")
{
  Knowledge knowledge;
  CHECK(knowledge.list(false) == 0);
  CHECK_FALSE(knowledge.isCold());
  CHECK(knowledge.list(true) == 1);
  CHECK(knowledge.isCold());
  knowledge.clock.advance(2s);
  CHECK(knowledge.list(true) == 0);
  CHECK(knowledge.isCold());
  CHECK(knowledge.list(false) == 0);
  CHECK_FALSE(knowledge.isCold());
  CHECK(knowledge.upstreams.isEmpty());
  CHECK(knowledge.list(true) == 1); // it became cold again
  CHECK(knowledge.isCold());
}

TEST_CASE("an instance is cold for the time that a response states, whatever is listed")
{
  Knowledge knowledge;
  knowledge.list(false);
  CHECK(knowledge.state(2500ms) == LimitChange::Begun);
  CHECK(knowledge.isCold());
  knowledge.clock.advance(1s);
  CHECK(knowledge.state(1500ms) == LimitChange::None);
  knowledge.list(false); // from before it became cold
  CHECK(knowledge.isCold());
  knowledge.clock.advance(1499ms);
  CHECK(knowledge.isCold());
  knowledge.clock.advance(1ms);
  CHECK_FALSE(knowledge.isCold());
}

TEST_CASE("a late copy of an older response doesn't end a warm-up")
{
  Knowledge knowledge;
  SECTION("that a response stated")
  {
    knowledge.list(false);
    knowledge.state(2500ms);
    knowledge.clock.advance(100ms);
    knowledge.state(10ms);
    knowledge.state(0ms);
    knowledge.clock.advance(500ms);
    CHECK(knowledge.isCold());
  }
  SECTION("that is listed")
  {
    knowledge.list(true);
    knowledge.state(10ms);
    knowledge.clock.advance(500ms);
    CHECK(knowledge.isCold());
  }
}

TEST_CASE("the time that responses state ends a warm-up before the list does")
{
  Knowledge knowledge;
  knowledge.state(2500ms);
  knowledge.clock.advance(1s);
  CHECK(knowledge.list(true) == 0); // known
  CHECK(knowledge.state(1500ms) == LimitChange::None);
  knowledge.clock.advance(1500ms);
  knowledge.list(true);
  CHECK_FALSE(knowledge.isCold());
  CHECK(knowledge.state(2500ms) == LimitChange::Begun); // cold again
  CHECK(knowledge.isCold());
}

TEST_CASE("a list that goes on to say that an instance is cold is not believed for long")
{
  Knowledge knowledge;
  for (int i = 0; i < 70; ++i) {
    knowledge.list(true);
    knowledge.clock.advance(100ms);
  }
  CHECK(knowledge.isCold());
  knowledge.clock.advance(2s);
  knowledge.list(true);
  CHECK_FALSE(knowledge.isCold());
}

TEST_CASE("a new instance is warm unless it is listed as cold")
{
  Knowledge knowledge;
  knowledge.state(std::chrono::hours(1));
  knowledge.upstreams.onListed({ listed(false, "2") }, knowledge.clock.now());
  CHECK(knowledge.isCold());
  CHECK(knowledge.upstreams.coldUntil(listed(false, "2")) < knowledge.clock.now());
  knowledge.upstreams.onListed({ listed(true, "3") }, knowledge.clock.now());
  CHECK(knowledge.upstreams.coldUntil(listed(false, "3")) > knowledge.clock.now());
}

TEST_CASE("without a limit nothing is cold, and nothing is kept")
{
  Knowledge knowledge;
  knowledge.list(true);
  knowledge.upstreams.configure({});
  CHECK_FALSE(knowledge.isCold());
  CHECK(knowledge.list(true) == 0);
  CHECK(knowledge.state(1s) == LimitChange::None);
  CHECK_FALSE(knowledge.isCold());
  CHECK(knowledge.upstreams.isEmpty());
}
