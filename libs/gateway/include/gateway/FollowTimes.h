#pragma once

#include <core/Time.h>
#include <peer/PeerTimes.h>

namespace masticwall {

/** The section of a feed that holds a whole configuration. */
inline constexpr const char* kWholePreset = "whole";

/** How often the source is read: an upstream's leaving must be known within 2 s. */
inline constexpr Duration kReadPeriod = std::chrono::milliseconds(650);

/** After a reading that failed; short, because lapsed entries are back within 2 s. */
inline constexpr Duration kReadRetry = std::chrono::milliseconds(600);

/** The retry is longer by itself for each VM ahead, up to so many. */
inline constexpr std::size_t kMostRetrySteps = 8;

/** Feeds tell each reading; without any, they are answered after so long. */
inline constexpr Duration kLongestFeedWait = std::chrono::milliseconds(500);

/** A VM that has not answered by then is given up as a source. */
inline constexpr Duration kFeedTimeout = std::chrono::milliseconds(800);

/**
 * What was read longer ago than this is out of date where the reader feeds this VM
 * itself: a period, and the time in which a reading reaches the followers. With the
 * takeover it must stay under the 2 s in which an upstream's leaving is to be known.
 */
inline constexpr Duration kStaleAfter = std::chrono::milliseconds(1000);

/** The same for each further feed in between, whose VM takes over first. */
inline constexpr Duration kStaleStep = std::chrono::milliseconds(100);

/** Before a VM without news reads by itself, others are asked for so long. */
inline constexpr Duration kTakeOverAfter = std::chrono::milliseconds(60);

/** How much longer, for each VM ahead, up to so many. */
inline constexpr Duration kTakeOverStep = std::chrono::milliseconds(25);
inline constexpr std::size_t kMostTakeOverSteps = 16;

/** How often a better source than the present one is tried. */
inline constexpr Duration kSearchPeriod = std::chrono::seconds(3);

/** The same for a VM that reads, though others should. */
inline constexpr Duration kUrgentSearchPeriod = std::chrono::seconds(1);

/** The same for a VM without a source that does not read yet. */
inline constexpr Duration kLostSearchPeriod = std::chrono::milliseconds(100);

/** Connections between VMs: 12 ms one way between regions. */
inline constexpr PeerTimes kFollowPeerTimes{ .connectTimeout =
                                               std::chrono::milliseconds(300) };

/** VMs that start together ask the source at different times within this span. */
inline constexpr Duration kStartSpread = std::chrono::milliseconds(50);
inline constexpr Duration kAnnounceRetry = std::chrono::seconds(3);

} // namespace masticwall
