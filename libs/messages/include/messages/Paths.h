#pragma once

namespace masticwall::paths {

// Each comment names the types of the request and of the reply.

// Served by a control process to the entry process on the same VM; kFeed also by a
// gateway process to those of other VMs.
inline constexpr const char* kFeed = "/feed";   ///< FeedRequest to Feed; long poll
inline constexpr const char* kClaim = "/claim"; ///< Claim to ClaimVerdict
/** ClaimId of the claim to release, to an empty reply. */
inline constexpr const char* kRelease = "/release";
inline constexpr const char* kLeaving = "/leaving"; ///< LeavingNotice to an empty reply

// Served by a control process to those of other VMs; kSuspect also by a gateway process.
/** FeedRequest to ConfigState, or to an empty reply if the state is not newer. */
inline constexpr const char* kConfigState = "/config";
/** LeavingNotice to an empty reply. */
inline constexpr const char* kPeerLeaving = "/peer-leaving";
/** SuspectCount to an empty reply. Also served to the entry process on the same VM. */
inline constexpr const char* kSuspect = "/suspect";

// Served by a gateway process to those of other VMs.
inline constexpr const char* kPermits = "/permits"; ///< PermitRequest to PermitGrant
inline constexpr const char* kQuotas = "/quotas";   ///< QuotaRequests to QuotaGrants

// Served by an entry process to those of other VMs.
inline constexpr const char* kOrder = "/order"; ///< ClaimId to OrderReport; long poll

} // namespace masticwall::paths
