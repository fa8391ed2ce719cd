#pragma once

namespace masticwall::streams {

// The streams that masticwall keeps on the platform's log.
inline constexpr const char* kConfig = "masticwall-config";
inline constexpr const char* kClaims = "masticwall-claims-0";

} // namespace masticwall::streams
