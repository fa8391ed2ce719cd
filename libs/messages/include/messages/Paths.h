#pragma once

namespace masticwall::paths {

// Requests that a control process serves to its entry process.
inline constexpr const char* kFeed = "/feed";       ///< FeedRequest to Feed; may wait
inline constexpr const char* kClaim = "/claim";     ///< Claim to ClaimVerdict
inline constexpr const char* kRelease = "/release"; ///< ClaimId to nothing
inline constexpr const char* kLeaving = "/leaving"; ///< LeavingNotice to nothing

// Requests that a control process serves to others.
/** FeedRequest to ConfigState, or to nothing if the state is not newer. */
inline constexpr const char* kConfigState = "/config";
inline constexpr const char* kPeerLeaving = "/peer-leaving"; ///< LeavingNotice to nothing
inline constexpr const char* kSuspect = "/suspect";          ///< Suspect to nothing

// Requests that an entry process serves to other entry processes.
inline constexpr const char* kOrder = "/order"; ///< ClaimId to OrderReport; may wait

} // namespace masticwall::paths
