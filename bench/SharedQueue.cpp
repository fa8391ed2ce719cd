#include "SharedQueue.h"
#include <algorithm>
#include <functional>
#include <queue>

namespace masticwall::bench {

std::vector<Duration>
sharedQueueLatencies(std::vector<SharedQueueCall> aCalls, int aSlots)
{
  std::sort(aCalls.begin(), aCalls.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.arrivesAt < aRight.arrivesAt;
  });
  std::priority_queue<Duration, std::vector<Duration>, std::greater<>> freeAt;
  for (int i = 0; i < aSlots; ++i) {
    freeAt.push(Duration{ 0 });
  }
  std::vector<Duration> latencies;
  latencies.reserve(aCalls.size());
  for (const auto& it : aCalls) {
    const auto start = std::max(it.arrivesAt, freeAt.top());
    freeAt.pop();
    freeAt.push(start + it.service);
    latencies.push_back(start + it.service - it.arrivesAt);
  }
  return latencies;
}

} // namespace masticwall::bench
