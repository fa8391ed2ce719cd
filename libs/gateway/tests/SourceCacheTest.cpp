#include <catch2/catch.hpp>
#include <gateway/SourceCache.h>

using namespace masticwall;

TEST_CASE("the age that a VM states which never read the source is no read of it")
{
  TimerService timers;
  SourceCache never(timers);
  SourceCache cache(timers);
  const auto feed = never.makeFeed({ .mayWait = false });
  cache.recordRead(timers.now() - std::chrono::milliseconds(feed.ageMs));
  CHECK(cache.isEmpty());
  CHECK(cache.age() >= std::chrono::hours(1));
  cache.recordRead(timers.now() - 200ms);
  CHECK_FALSE(cache.isEmpty());
  CHECK(cache.age() < 1s);
}

TEST_CASE("only a process that may have been restarted is sent the suspects")
{
  TimerService timers;
  SourceCache cache(timers);
  cache.setSuspectSource([] {
    return std::vector<SuspectCount>{ { {}, "vm#1", 2, 0 } };
  });
  cache.recordRead(timers.now());
  CHECK(cache.makeFeed({ .mayWait = false }).suspects.size() == 1);
  CHECK(cache.makeFeed({}).suspects.size() == 1);
  CHECK(cache.makeFeed({ .revision = 7 }).suspects.empty());
}

TEST_CASE("evacuated data centres are told once a list is known, also in short replies")
{
  TimerService timers;
  SourceCache cache(timers);
  CHECK_FALSE(cache.makeFeed({}).evacuated.has_value());
  const auto now = timers.now();
  cache.evacuations().merge({}, now, now);
  for (const bool mayWait : { false, true }) {
    const auto evacuated = cache.makeFeed({ .mayWait = mayWait }).evacuated;
    REQUIRE(evacuated.has_value());
    CHECK(evacuated->empty());
  }
  cache.evacuations().merge({ { "recife" } }, now, now);
  for (const bool mayWait : { false, true }) {
    CHECK(cache.makeFeed({ .mayWait = mayWait }).evacuated ==
          std::vector<Evacuation>{ { "recife" } });
  }
}
