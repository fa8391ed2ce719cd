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

/** Hash of a caller's idempotency key; includes the caller's name and that of its tenant,
 * unless empty, so that equal keys of different callers differ. */
Digest
keyDigest(const http::Request& aRequest, std::string_view aTenant);

/** Hash of a request's method, target and body, of the host that it is meant for and of
 * the tenant that sends it, unless these are empty. */
Digest
requestDigest(const http::Request& aRequest,
              std::string_view aHost,
              std::string_view aTenant);

} // namespace masticwall
