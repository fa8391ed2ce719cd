#pragma once

#include <core/Digest.h>
#include <http/Request.h>
#include <string>

namespace masticwall {

/**
 * The caller's name as the platform's load balancer sets it (Masticwall-Caller); empty if
 * it is missing.
 */
std::string_view
callerOf(const http::Request& aRequest);

/** Hash of a caller's idempotency key; includes the caller's name, so that equal keys of
 * different callers differ. */
Digest
keyDigest(const http::Request& aRequest);

/** Hash of a request's method, target and body, and of the host that it is meant for
 * unless that is empty. */
Digest
requestDigest(const http::Request& aRequest, std::string_view aHost);

} // namespace masticwall
