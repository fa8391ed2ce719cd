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
inline constexpr const char* kNotRun =
  "Upstream-Not-Run"; ///< "1": the request was not run
inline constexpr const char* kLeaving =
  "Upstream-Leaving"; ///< "1": it shuts down; send no more calls
inline constexpr const char* kInUse = "Upstream-In-Use";  ///< slots in use
inline constexpr const char* kQueued = "Upstream-Queued"; ///< calls queued
inline constexpr const char* kInstance =
  "Upstream-Instance"; ///< id, new at each start of the VM

} // namespace masticwall::headers
