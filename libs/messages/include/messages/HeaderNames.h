#pragma once

namespace masticwall::headers {

// Requests from callers.
inline constexpr const char* kIdempotencyKey = "Idempotency-Key";
inline constexpr const char* kCaller = "Masticwall-Caller";

// Responses to callers.
inline constexpr const char* kOutcome = "Masticwall-Outcome"; ///< name of an Outcome
inline constexpr const char* kReason = "Masticwall-Reason";   ///< name of the error
inline constexpr const char* kRetryAfter = "Retry-After"; ///< seconds; of upstreams too

// Requests to upstreams.
/** Milliseconds left until the response must have arrived. */
inline constexpr const char* kDeadline = "Masticwall-Deadline-Ms";
/** Name of the call's tenant; none if the call has none. */
inline constexpr const char* kTenant = "Masticwall-Tenant";

// Responses from upstreams.
/** "1": the request was not run. */
inline constexpr const char* kNotRun = "Upstream-Not-Run";
/** "1": the upstream shuts down; send it no more calls. */
inline constexpr const char* kLeaving = "Upstream-Leaving";
inline constexpr const char* kInUse = "Upstream-In-Use";  ///< slots in use
inline constexpr const char* kQueued = "Upstream-Queued"; ///< calls queued
/** The upstream's instance id, new at each start of its VM. */
inline constexpr const char* kInstance = "Upstream-Instance";

} // namespace masticwall::headers
