#pragma once

#include <decide/MembershipHistory.h>
#include <feed/FeedContents.h>
#include <runtime/TimerService.h>
#include <string>

namespace masticwall {

/**
 * What this VM knows of the source and tells other VMs: the configuration as it was
 * written, the membership, and when they were read. Main thread.
 */
class Knowledge
{
public:
  explicit Knowledge(TimerService& aTimers);

  /** Each reading of the source is news: it says how old the rest is. */
  bool hasNews(const FeedRequest& aHave) const;
  Feed newsFor(const FeedRequest& aHave) const;

  /** Takes a configuration; its version must be higher than the present one. */
  void putPreset(std::uint64_t aVersion, std::string aText);

  /** Takes the membership as it now is. */
  void putVms(const VmList& aVms) { mHistory.update(aVms); }

  /** The source was read at `aTime`, here or by another VM. */
  void noteRead(Instant aTime);

  std::uint64_t presetVersion() const { return mPresetVersion; }
  const std::string& presetText() const { return mPresetText; }
  Instant readAt() const { return mReadAt; }

  /** True until a reading of the source is known. */
  bool isEmpty() const { return mReading == 0; }

  /** How long ago the source was read. */
  Duration age() const { return mTimers.now() - mReadAt; }

private:
  void addVms(const FeedRequest& aHave, Feed& aFeed) const;

  TimerService& mTimers;
  MembershipHistory mHistory;
  std::string mPresetText;
  std::uint64_t mPresetVersion = 0;
  std::uint64_t mReading = 0; ///< rises with each later reading
  Instant mReadAt;
};

static_assert(FeedContents<Knowledge>);

} // namespace masticwall
