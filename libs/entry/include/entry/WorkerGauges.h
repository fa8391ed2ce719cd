#pragma once

#include <atomic>
#include <cstddef>

namespace masticwall {

/** A worker's current counts. Written by the worker; read by metrics and state dump. */
struct WorkerGauges
{
  std::atomic<std::size_t> calls{ 0 };
  std::atomic<std::size_t> callerConnections{ 0 };
  std::atomic<std::size_t> upstreamConnections{ 0 };
};

} // namespace masticwall
