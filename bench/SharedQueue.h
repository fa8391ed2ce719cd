#pragma once

#include <core/Time.h>
#include <vector>

namespace masticwall::bench {

/** A call as the bound sees it. */
struct SharedQueueCall
{
  Duration arrivesAt{ 0 };
  Duration service{ 0 };
};

/**
 * The latency of each call if all slots were served by one queue with perfect knowledge,
 * first come first served: the bound that choices of upstreams are held against.
 */
std::vector<Duration>
sharedQueueLatencies(std::vector<SharedQueueCall> aCalls, int aSlots);

} // namespace masticwall::bench
