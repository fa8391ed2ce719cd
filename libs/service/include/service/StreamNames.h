#pragma once

namespace masticwall::streams {

// The streams of masticwall on the platform's log service.
inline constexpr const char* kConfig = "masticwall-config";
inline constexpr const char* kClaims = "masticwall-claims-0";

} // namespace masticwall::streams
