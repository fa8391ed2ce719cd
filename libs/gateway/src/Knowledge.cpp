#include <algorithm>
#include <gateway/FollowTimes.h>
#include <gateway/Knowledge.h>

namespace masticwall {

namespace {

/** The age of what was never read. */
constexpr Duration kUnknownAge = std::chrono::hours(1);

} // namespace

Knowledge::Knowledge(TimerService& aTimers, const MembershipTable& aMembership)
  : mTimers(aTimers)
  , mMembership(aMembership)
  , mReadAt(aTimers.now() - kUnknownAge)
{
}

bool
Knowledge::hasNews(const FeedRequest& aHave) const
{
  return mPresetVersion > aHave.version || mMembership.revision() != aHave.revision;
}

Feed
Knowledge::newsFor(const FeedRequest& aHave) const
{
  Feed feed;
  feed.version = mPresetVersion;
  if (mPresetVersion > aHave.version) {
    feed.sections[kWholePreset] = mPresetText;
  }
  feed.revision = mMembership.revision();
  if (feed.revision != aHave.revision) {
    feed.vms = mMembership.current();
  }
  feed.ageMs = static_cast<std::uint64_t>(toMilliseconds(std::min(age(), kUnknownAge)));
  return feed;
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
  mReadAt = std::max(mReadAt, aTime);
}

} // namespace masticwall
