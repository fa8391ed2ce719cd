#pragma once

#include <core/Time.h>

namespace masticwall {

/** A moving average of the latencies of attempts at one upstream. */
struct MeanLatency
{
  Duration mean{ 0 };
  int samples = 0;
};

} // namespace masticwall
