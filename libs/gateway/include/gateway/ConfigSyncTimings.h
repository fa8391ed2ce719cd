#pragma once

#include <core/Time.h>
#include <peer/PeerTimes.h>

namespace masticwall {

/** The name of the feed section that holds the whole configuration. */
inline constexpr const char* kWholeConfigSection = "whole";

/** How often the source is read: VMs must know of a leaving upstream within 2 s. */
inline constexpr Duration kReadPeriod = std::chrono::milliseconds(650);

/**
 * Delay after a failed read. Short, because entries that expired while the source was
 * unreachable are listed again within 2 s of its return.
 */
inline constexpr Duration kReadRetryDelay = std::chrono::milliseconds(600);

/** The retry delay is added once for each VM ahead in the peer order, up to this many. */
inline constexpr std::size_t kMaxReadRetrySteps = 8;

/** Feed requests are answered at each read of the source, or else after this time. */
inline constexpr Duration kMaxFeedWait = std::chrono::milliseconds(500);

/** A peer whose reply takes longer is dropped. */
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
 * Added to kTakeOverDelay for each VM ahead in the peer order, up to kMaxTakeOverSteps.
 */
inline constexpr Duration kTakeOverDelayPerVm = std::chrono::milliseconds(25);
inline constexpr std::size_t kMaxTakeOverSteps = 16;

/** How often a VM that polls a feed looks for a peer earlier in the order. */
inline constexpr Duration kSearchPeriod = std::chrono::seconds(3);

/** The same for a VM that reads the source although others should. */
inline constexpr Duration kSearchPeriodWhileReading = std::chrono::seconds(1);

/** The same for a VM that has no feed and does not read the source yet. */
inline constexpr Duration kSearchPeriodWithoutFeed = std::chrono::milliseconds(100);

/** Connections between VMs; the latency between regions is 12 ms one way. */
inline constexpr PeerTimes kFeedPeerTimes{ .connectTimeout =
                                             std::chrono::milliseconds(300) };

/**
 * The first request to the source is delayed by a random time up to this, to spread the
 * load if many VMs start at once.
 */
inline constexpr Duration kMaxStartDelay = std::chrono::milliseconds(50);

/** Delay after a failed attempt to list this VM at the source. */
inline constexpr Duration kAnnounceRetryDelay = std::chrono::seconds(3);

} // namespace masticwall
