#pragma once

#include <core/Time.h>
#include <peer/PeerTimeouts.h>

namespace masticwall {

/** How often the source is read: VMs must know of a leaving upstream within 2 s. */
inline constexpr Duration kReadPeriod = std::chrono::milliseconds(650);

/**
 * Delay after a failed read. Short, so that the return of the source is seen early:
 * within 2 s of it, live upstreams list themselves again if their entries had expired.
 */
inline constexpr Duration kReadRetryDelay = std::chrono::milliseconds(600);

/**
 * kReadRetryDelay is added once for each feed candidate that replies to this VM, and so
 * will pass on what it reads, up to this many times.
 */
inline constexpr std::size_t kMaxReadRetrySteps = 8;

/** Feed requests are answered at each read of the source, or else after this time. */
inline constexpr Duration kMaxFeedWait = std::chrono::milliseconds(500);

/** A peer whose reply takes longer is no longer polled; must exceed kMaxFeedWait. */
inline constexpr Duration kFeedRequestTimeout = std::chrono::milliseconds(800);

/**
 * Data that was read from the source longer ago than this is stale, on a VM that polls
 * the reading VM directly: one read period, plus the time until a read has reached the
 * polling VMs. Together with the takeover delay it must stay below the 2 s within which
 * VMs must know of a leaving upstream.
 */
inline constexpr Duration kStaleAge = std::chrono::milliseconds(1000);

/**
 * Added to kStaleAge for each further feed between this VM and the reading one, so that
 * the VMs in between take over first.
 */
inline constexpr Duration kStaleAgePerHop = std::chrono::milliseconds(100);

/** How long a VM with stale data queries its peers before it reads the source itself. */
inline constexpr Duration kTakeOverDelay = std::chrono::milliseconds(60);

/**
 * Added to kTakeOverDelay for each VM that takes over before this one, up to
 * kMaxTakeOverSteps times.
 */
inline constexpr Duration kTakeOverDelayPerVm = std::chrono::milliseconds(25);
inline constexpr std::size_t kMaxTakeOverSteps = 16;

/** How often a VM that polls a feed looks for a better feed candidate. */
inline constexpr Duration kSearchPeriod = std::chrono::seconds(3);

/** The search period of a VM that reads the source although it has feed candidates. */
inline constexpr Duration kSearchPeriodWhileReading = std::chrono::seconds(1);

/** The search period of a VM that has no feed and does not read the source yet. */
inline constexpr Duration kSearchPeriodWithoutFeed = std::chrono::milliseconds(100);

/** Timeouts of connections to peers; the latency between regions is 12 ms one way. */
inline constexpr PeerTimeouts kFeedPeerTimeouts{ .connectTimeout =
                                                   std::chrono::milliseconds(300) };

/**
 * The first request to the source is delayed by a random time up to this, to spread the
 * load if many VMs start at once.
 */
inline constexpr Duration kMaxStartDelay = std::chrono::milliseconds(50);

/** Delay after a failed attempt to add this VM to the list at the source. */
inline constexpr Duration kAnnounceRetryDelay = std::chrono::seconds(3);

/** When many VMs list themselves again at the same time: 200 of them in a second. */
inline constexpr Duration kAnnounceSpreadPerVm = std::chrono::milliseconds(5);

/** At most one VM is asked for a newer preset in this time. */
inline constexpr Duration kCatchUpPeriod = std::chrono::milliseconds(250);

/** After this VM has added itself to the list, until the list that it knows must have it:
 * not every read of the source includes the list. */
inline constexpr Duration kMaxAnnounceTime = std::chrono::seconds(6);

} // namespace masticwall
