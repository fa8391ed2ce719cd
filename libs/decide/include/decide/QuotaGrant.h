#pragma once

#include <core/Time.h>
#include <string>

namespace masticwall {

/** The reply to a QuotaRequest. */
struct QuotaGrant
{
  std::string tenant;
  bool isKnown = true; ///< false: the issuer has a configuration without this tenant
  int permits = 0;
  /** If fewer than needed: until the VM may ask again; else 0. */
  Duration nextIn{ 0 };
  Duration retryAfter{ 0 }; ///< for the callers that are refused meanwhile
};

} // namespace masticwall
