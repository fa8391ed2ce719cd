#pragma once

namespace masticwall::headers {

// From callers.
inline constexpr const char* kIdempotencyKey = "Idempotency-Key";
inline constexpr const char* kCaller = "Masticwall-Caller";

// To callers.
inline constexpr const char* kOutcome = "Masticwall-Outcome";
inline constexpr const char* kReason = "Masticwall-Reason";
inline constexpr const char* kRetryAfter = "Retry-After"; ///< seconds

// To upstreams.
inline constexpr const char* kDeadline = "Masticwall-Deadline-Ms"; ///< time left

// From upstreams.
inline constexpr const char* kNotRun = "Upstream-Not-Run";  ///< "1": it was not run
inline constexpr const char* kLeaving = "Upstream-Leaving"; ///< "1": send nothing more
inline constexpr const char* kInUse = "Upstream-In-Use";    ///< slots in use
inline constexpr const char* kQueued = "Upstream-Queued";   ///< calls waiting
inline constexpr const char* kInstance = "Upstream-Instance";

} // namespace masticwall::headers
