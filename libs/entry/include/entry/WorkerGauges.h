#pragma once

#include <atomic>
#include <cstddef>

namespace masticwall {

/** What a worker holds at the moment; written by it, read by the state dump. */
struct WorkerGauges
{
  std::atomic<std::size_t> calls{ 0 };
  std::atomic<std::size_t> callerConnections{ 0 };
  std::atomic<std::size_t> upstreamConnections{ 0 };
};

} // namespace masticwall
