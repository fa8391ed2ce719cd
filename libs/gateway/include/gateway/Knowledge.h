#pragma once

#include <feed/FeedContents.h>
#include <runtime/TimerService.h>
#include <string>
#include <tables/MembershipTable.h>

namespace masticwall {

/**
 * What this VM knows of the source and tells other VMs: the configuration as it was
 * written, the membership, and when they were read. Main thread.
 */
class Knowledge
{
public:
  Knowledge(TimerService& aTimers, const MembershipTable& aMembership);

  bool hasNews(const FeedRequest& aHave) const;
  Feed newsFor(const FeedRequest& aHave) const;

  /** Takes a configuration; its version must be higher than the present one. */
  void putPreset(std::uint64_t aVersion, std::string aText);

  /** The source was read at `aTime`, here or by another VM. */
  void noteRead(Instant aTime);

  std::uint64_t presetVersion() const { return mPresetVersion; }
  Instant readAt() const { return mReadAt; }

  /** How long ago the source was read. */
  Duration age() const { return mTimers.now() - mReadAt; }

private:
  TimerService& mTimers;
  const MembershipTable& mMembership;
  std::string mPresetText;
  std::uint64_t mPresetVersion = 0;
  Instant mReadAt;
};

static_assert(FeedContents<Knowledge>);

} // namespace masticwall
