#pragma once

#include "GatewaySystem.h"
#include <chrono>
#include <functional>
#include <vector>

namespace masticwall::test {

/** What became of the lookups of sendLookups(). */
struct LookupCounts
{
  int served = 0;
  int refused = 0; ///< 503 with a Retry-After
  int other = 0;
  std::chrono::milliseconds slowestRefusal{ 0 };
};

/** Sends lookups to the gateways in turn for `aTime`, about 100 a second. */
LookupCounts
sendLookups(
  GatewaySystem& aSystem,
  const std::vector<int>& aGateways,
  std::chrono::milliseconds aTime,
  const std::function<void()>& aAfterEach = [] {});

} // namespace masticwall::test
