#include <algorithm>
#include <gateway/SourceCache.h>
#include <random>
#include <utility>

namespace masticwall {

namespace {

/**
 * The first revision is a random multiple of this, so that a peer's revision from before
 * a restart of this VM does not match a current one.
 */
constexpr std::uint64_t kRevisionsPerStart = 1U << 24U;

} // namespace

SourceCache::SourceCache(TimerService& aTimers)
  : mTimers(aTimers)
  , mHistory((1U + std::uint64_t{ std::random_device()() }) * kRevisionsPerStart)
  , mReadAt(aTimers.now() - kMaxAge)
{
}

bool
SourceCache::hasUpdates(const FeedRequest& aHave) const
{
  return mPresetVersion > aHave.version || mHistory.revision() != aHave.revision ||
         mReadSequence != aHave.readSequence;
}

Feed
SourceCache::makeFeed(const FeedRequest& aHave) const
{
  Feed feed;
  feed.version = mPresetVersion;
  feed.readSequence = mReadSequence;
  feed.ageMs = static_cast<std::uint64_t>(toMilliseconds(std::min(age(), kMaxAge)));
  feed.era = mEra;
  if (mEvacuations.isKnown()) {
    feed.evacuated = mEvacuations.list(mTimers.now());
  }
  feed.revision = aHave.revision; // the membership is not included yet
  if (aHave.revision == 0 && mSuspectSource != nullptr) {
    feed.suspects = mSuspectSource();
  }
  if (!aHave.mayWait) {
    return feed;
  }
  if (mPresetVersion > aHave.version) {
    feed.sections[kWholePresetSection] = mPresetText;
  }
  addVms(aHave, feed);
  return feed;
}

void
SourceCache::addVms(const FeedRequest& aHave, Feed& aFeed) const
{
  aFeed.revision = mHistory.revision();
  const auto delta = mHistory.deltaSince(aHave.revision);
  aFeed.isVmsDelta = delta.has_value();
  if (delta.has_value()) {
    aFeed.vms = delta->changed;
    aFeed.removed = delta->removed;
  } else {
    aFeed.vms = mHistory.currentList();
  }
}

void
SourceCache::putPreset(std::uint64_t aVersion, std::string aText)
{
  mPresetVersion = aVersion;
  mPresetText = std::move(aText);
}

bool
SourceCache::recordEra(std::optional<std::uint64_t> aEra)
{
  if (!aEra.has_value() || (mEra.has_value() && *aEra <= *mEra)) {
    return false;
  }
  return std::exchange(mEra, aEra).has_value();
}

void
SourceCache::recordRead(Instant aTime)
{
  // Feeds state ages in whole milliseconds, so the same read may appear slightly later.
  constexpr Duration kSameReadTolerance = std::chrono::milliseconds(20);
  if (mTimers.now() - aTime >= kMaxAge) {
    return; // the age that a process states which never read it
  }
  mReadSequence += aTime > mReadAt + kSameReadTolerance ? 1 : 0;
  mReadAt = std::max(mReadAt, aTime);
}

} // namespace masticwall
