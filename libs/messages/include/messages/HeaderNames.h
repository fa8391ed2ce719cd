#pragma once

namespace masticwall::headers {

// Requests from callers.
inline constexpr const char* kIdempotencyKey = "Idempotency-Key";
inline constexpr const char* kCaller = "Masticwall-Caller";

// Responses to callers.
inline constexpr const char* kOutcome = "Masticwall-Outcome";
inline constexpr const char* kReason = "Masticwall-Reason";
inline constexpr const char* kRetryAfter = "Retry-After"; ///< seconds

// Requests to upstreams.
inline constexpr const char* kDeadline = "Masticwall-Deadline-Ms"; ///< milliseconds left

// Responses from upstreams.
/** "1": the request was not run. */
inline constexpr const char* kNotRun = "Upstream-Not-Run";
/** "1": the upstream shuts down; send it no more calls. */
inline constexpr const char* kLeaving = "Upstream-Leaving";
inline constexpr const char* kInUse = "Upstream-In-Use";  ///< slots in use
inline constexpr const char* kQueued = "Upstream-Queued"; ///< calls queued
/** Instance id, new at each start of the VM. */
inline constexpr const char* kInstance = "Upstream-Instance";

} // namespace masticwall::headers
