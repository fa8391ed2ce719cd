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

/** A feed without news is answered after so long, with the age of what is known. */
inline constexpr Duration kLongestFeedWait = std::chrono::milliseconds(400);

/** A VM that has not answered by then is given up as a source. */
inline constexpr Duration kFeedTimeout = std::chrono::milliseconds(800);

/**
 * What was read longer ago than this is out of date. With a feed's wait and the takeover
 * it must stay under the 2 s in which an upstream's leaving is to be known.
 */
inline constexpr Duration kStaleAfter = std::chrono::milliseconds(1100);

/** After the loss of a source, other sources are asked for so long before this VM reads.
 */
inline constexpr Duration kTakeOverAfter = std::chrono::milliseconds(60);

/** How much longer, for each VM before this one in order. */
inline constexpr Duration kTakeOverStep = std::chrono::milliseconds(20);

/** The most sources that are asked at a time. */
inline constexpr std::size_t kMostAsked = 8;

/** How often a better source than the present one is tried. */
inline constexpr Duration kSearchPeriod = std::chrono::seconds(3);

/** The same while neither a source nor a reading has news. */
inline constexpr Duration kUrgentSearchPeriod = std::chrono::seconds(1);

/** Connections between VMs: 12 ms one way between regions. */
inline constexpr PeerTimes kFollowPeerTimes{ .connectTimeout =
                                               std::chrono::milliseconds(300) };

/** VMs that start together read the source at different times within this span. */
inline constexpr Duration kStartSpread = std::chrono::milliseconds(50);
inline constexpr Duration kAnnounceRetry = std::chrono::seconds(3);

} // namespace masticwall
