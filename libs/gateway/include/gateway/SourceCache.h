#pragma once

#include <decide/Evacuations.h>
#include <decide/MembershipHistory.h>
#include <feed/FeedProvider.h>
#include <functional>
#include <optional>
#include <runtime/TimerService.h>
#include <string>

namespace masticwall {

/** The name of the feed section that holds the whole preset. */
inline constexpr const char* kWholePresetSection = "whole";

/**
 * The last known contents of the source, which this VM serves to others: the text of the
 * preset, the membership, the evacuated data centres, and the time at which they were
 * read. Main thread.
 */
class SourceCache
{
public:
  /** The age before the first read, and the highest that a feed states. */
  static constexpr Duration kMaxAge = std::chrono::hours(1);

  explicit SourceCache(TimerService& aTimers);

  /**
   * True if the cache has something newer than `aHave`. A repeated read of the source
   * counts, even without changes, because it lowers the age of the data.
   */
  bool hasUpdates(const FeedRequest& aHave) const;

  /**
   * The parts that are newer than `aHave`. If its `mayWait` is false, only the preset
   * version, the read sequence number, the age and the evacuated data centres. The
   * suspects are included unless the requester follows this feed already: it may have
   * been restarted, and others have reported them before.
   */
  Feed makeFeed(const FeedRequest& aHave) const;

  using SuspectSource = std::function<std::vector<SuspectCount>()>;

  /** Sets where the suspects of this process come from. */
  void setSuspectSource(SuspectSource aSource) { mSuspectSource = std::move(aSource); }

  /** Sets the preset; the version must be higher than the current one. */
  void putPreset(std::uint64_t aVersion, std::string aText);

  /** Sets the membership. */
  void putVms(const VmList& aVms) { mHistory.update(aVms); }

  /** The source was read at `aTime`, by this VM or by another. */
  void recordRead(Instant aTime);

  /** Records the era of the source that a read or a feed states. True if the source has
   * come back from an older copy since the last one that was known. */
  bool recordEra(std::optional<std::uint64_t> aEra);

  Evacuations& evacuations() { return mEvacuations; }

  std::uint64_t presetVersion() const { return mPresetVersion; }
  const std::string& presetText() const { return mPresetText; }
  Instant readAt() const { return mReadAt; }

  /** True until a read of the source is known. */
  bool isEmpty() const { return mReadSequence == 0; }

  /** The time since the source was last read; at least 1 h if it never was. */
  Duration age() const { return mTimers.now() - mReadAt; }

private:
  /** Adds the membership's changes since the revision of `aHave`, or all of it. */
  void addVms(const FeedRequest& aHave, Feed& aFeed) const;

  TimerService& mTimers;
  SuspectSource mSuspectSource;
  MembershipHistory mHistory;
  Evacuations mEvacuations;
  std::string mPresetText;
  std::uint64_t mPresetVersion = 0;
  std::optional<std::uint64_t> mEra; ///< the highest one known
  std::uint64_t mReadSequence = 0;   ///< of the latest known read by any VM; 0: none
  Instant mReadAt;
};

static_assert(FeedProvider<SourceCache>);

} // namespace masticwall
