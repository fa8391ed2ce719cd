#pragma once

#include <core/Digest.h>
#include <http/Request.h>
#include <string>

namespace masticwall {

/**
 * The caller's name as the platform's balancer states it (Masticwall-Caller), or nothing.
 */
std::string_view
callerOf(const http::Request& aRequest);

/** Stands for a caller's idempotency key; keys of different callers never meet. */
Digest
keyDigest(const http::Request& aRequest);

/** Stands for what a request asks for: method, target and body. */
Digest
requestDigest(const http::Request& aRequest);

} // namespace masticwall
