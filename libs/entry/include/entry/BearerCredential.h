#pragma once

#include <decide/CallerCredential.h>
#include <http/Header.h>

namespace masticwall {

/** The field with a caller's key, as in RFC 6750: "Bearer KEY". */
inline constexpr const char* kAuthorization = "Authorization";

/** The field of a response that asks for it, and its value. */
inline constexpr const char* kAuthenticate = "WWW-Authenticate";
inline constexpr const char* kBearer = "Bearer";

/** Reads the key from a request's fields; the name of the scheme is case-insensitive. */
CallerCredential
readBearerCredential(const http::HeaderList& aHeaders);

} // namespace masticwall
