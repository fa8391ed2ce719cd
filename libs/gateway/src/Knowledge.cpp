#include <algorithm>
#include <gateway/FollowTimes.h>
#include <gateway/Knowledge.h>
#include <random>

namespace masticwall {

namespace {

/** The age of what was never read. */
constexpr Duration kUnknownAge = std::chrono::hours(1);

/** Leaves this many revisions before those of another start of this VM. */
constexpr std::uint64_t kRevisionsOfAStart = 1U << 24U;

} // namespace

Knowledge::Knowledge(TimerService& aTimers)
  : mTimers(aTimers)
  , mHistory((1U + std::uint64_t{ std::random_device()() }) * kRevisionsOfAStart)
  , mReadAt(aTimers.now() - kUnknownAge)
{
}

bool
Knowledge::hasNews(const FeedRequest& aHave) const
{
  return mPresetVersion > aHave.version || mHistory.revision() != aHave.revision ||
         mReading != aHave.reading;
}

Feed
Knowledge::newsFor(const FeedRequest& aHave) const
{
  Feed feed;
  feed.version = mPresetVersion;
  feed.reading = mReading;
  feed.ageMs = static_cast<std::uint64_t>(toMilliseconds(std::min(age(), kUnknownAge)));
  feed.revision = aHave.revision;
  if (!aHave.mayWait) {
    return feed;
  }
  if (mPresetVersion > aHave.version) {
    feed.sections[kWholePreset] = mPresetText;
  }
  addVms(aHave, feed);
  return feed;
}

void
Knowledge::addVms(const FeedRequest& aHave, Feed& aFeed) const
{
  aFeed.revision = mHistory.revision();
  const auto delta = mHistory.since(aHave.revision);
  aFeed.isVmsDelta = delta.has_value();
  if (delta.has_value()) {
    aFeed.vms = delta->changed;
    aFeed.gone = delta->gone;
  } else {
    aFeed.vms = mHistory.whole();
  }
}

void
Knowledge::putPreset(std::uint64_t aVersion, std::string aText)
{
  mPresetVersion = aVersion;
  mPresetText = std::move(aText);
}

void
Knowledge::noteRead(Instant aTime)
{
  // Ages are told in whole milliseconds, so the same reading may seem a little later.
  constexpr Duration kSameReading = std::chrono::milliseconds(20);
  mReading += aTime > mReadAt + kSameReading ? 1 : 0;
  mReadAt = std::max(mReadAt, aTime);
}

} // namespace masticwall
