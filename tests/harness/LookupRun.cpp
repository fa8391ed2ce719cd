#include "LookupRun.h"
#include "Wait.h"
#include <algorithm>

namespace masticwall::test {

LookupCounts
sendLookups(GatewaySystem& aSystem,
            const std::vector<int>& aGateways,
            std::chrono::milliseconds aTime,
            const std::function<void()>& aAfterEach)
{
  using Clock = std::chrono::steady_clock;
  LookupCounts counts;
  const auto end = Clock::now() + aTime;
  for (std::size_t i = 0; Clock::now() < end; ++i) {
    const auto sentAt = Clock::now();
    const auto answer =
      aSystem.call(aGateways[i % aGateways.size()], "GET", "/read/1", "limited");
    const auto took =
      std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - sentAt);
    if (statusOf(answer) == 200) {
      ++counts.served;
    } else if (statusOf(answer) == 503 &&
               !http::findHeader(answer->headers, "Retry-After").empty()) {
      ++counts.refused;
      counts.slowestRefusal = std::max(counts.slowestRefusal, took);
    } else {
      ++counts.other;
    }
    aAfterEach();
    runEventsFor(5);
  }
  return counts;
}

} // namespace masticwall::test
