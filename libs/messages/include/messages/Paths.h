#pragma once

namespace masticwall::paths {

// Each comment names the types of the request and of the reply.

// Served by a control process to the entry process on the same VM.
inline constexpr const char* kFeed = "/feed";       ///< FeedRequest to Feed; long poll
inline constexpr const char* kClaim = "/claim";     ///< Claim to ClaimVerdict
inline constexpr const char* kRelease = "/release"; ///< ClaimId to an empty reply
inline constexpr const char* kLeaving = "/leaving"; ///< LeavingNotice to an empty reply

// Served by a control process to those of other VMs.
/** FeedRequest to ConfigState, or to an empty reply if the state is not newer. */
inline constexpr const char* kConfigState = "/config";
/** LeavingNotice to an empty reply. */
inline constexpr const char* kPeerLeaving = "/peer-leaving";
inline constexpr const char* kSuspect = "/suspect"; ///< Suspect to an empty reply

// Served by an entry process to those of other VMs.
inline constexpr const char* kOrder = "/order"; ///< ClaimId to OrderReport; long poll

} // namespace masticwall::paths
