#include "ManualClock.h"
#include <catch2/catch.hpp>
#include <decide/RequestLimits.h>

using namespace masticwall;
using namespace masticwall::test;

namespace {

const UpstreamAddress kUpstream{ "i-1", "lookup", "r", "10.0.0.1", 9000, "1000" };
const UpstreamAddress kRestarted{ "i-1", "lookup", "r", "10.0.0.1", 9000, "2000" };

std::optional<double>
perSecondOf(const RequestLimits& aLimits, const UpstreamAddress& aUpstream)
{
  const auto limit = aLimits.find(aUpstream);
  return limit.has_value() ? std::optional(limit->perSecond) : std::nullopt;
}

} // namespace

TEST_CASE("a limit lasts until a later response states none")
{
  ManualClock clock;
  RequestLimits limits;
  CHECK(limits.record(kUpstream, {}, clock.now(), clock.now()) == LimitChange::None);
  CHECK(limits.record(kUpstream, 5.0, clock.now(), clock.now()) == LimitChange::Begun);
  CHECK(perSecondOf(limits, kUpstream) == 5.0);
  clock.advance(std::chrono::hours(1));
  CHECK(perSecondOf(limits, kUpstream) == 5.0);
  CHECK(limits.record(kUpstream, {}, clock.now(), clock.now()) == LimitChange::Ended);
  CHECK_FALSE(limits.find(kUpstream).has_value());
}

TEST_CASE("a response to a request from before the limit doesn't end or raise it")
{
  ManualClock clock;
  RequestLimits limits;
  const auto early = clock.now();
  clock.advance(10ms);
  limits.record(kUpstream, 5.0, early, clock.now());
  clock.advance(10ms);
  CHECK(limits.record(kUpstream, {}, early, clock.now()) == LimitChange::None);
  CHECK(limits.record(kUpstream, 9.0, early, clock.now()) == LimitChange::None);
  CHECK(perSecondOf(limits, kUpstream) == 5.0);
  // A lower one applies whenever it arrives.
  CHECK(limits.record(kUpstream, 3.0, early, clock.now()) == LimitChange::Changed);
  CHECK(perSecondOf(limits, kUpstream) == 3.0);
  CHECK(limits.record(kUpstream, 9.0, clock.now(), clock.now()) == LimitChange::Changed);
  CHECK(perSecondOf(limits, kUpstream) == 9.0);
}

TEST_CASE("a limit that differs in every response is reported when it has changed much")
{
  ManualClock clock;
  RequestLimits limits;
  limits.record(kUpstream, 5.0, clock.now(), clock.now());
  int changes = 0;
  for (int i = 1; i <= 20; ++i) {
    clock.advance(100ms);
    const auto perSecond = 5.0 + 0.1 * i;
    changes +=
      limits.record(kUpstream, perSecond, clock.now(), clock.now()) != LimitChange::None
        ? 1
        : 0;
    CHECK(perSecondOf(limits, kUpstream) == perSecond);
  }
  CHECK(changes == 0);
  CHECK(limits.record(kUpstream, 8.0, clock.now(), clock.now()) == LimitChange::Changed);
}

TEST_CASE("a limit belongs to one instance, listed or not")
{
  ManualClock clock;
  RequestLimits limits;
  limits.record(kUpstream, 5.0, clock.now(), clock.now());
  CHECK_FALSE(limits.find(kRestarted).has_value());
  limits.onListed({ kRestarted }, clock.now());
  CHECK(perSecondOf(limits, kUpstream) == 5.0);
  clock.advance(std::chrono::minutes(31));
  limits.onListed({ kRestarted }, clock.now());
  CHECK_FALSE(limits.find(kUpstream).has_value());
}
