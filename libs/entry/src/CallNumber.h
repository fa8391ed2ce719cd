#pragma once

#include <cstdint>

namespace masticwall {

/** A call's number names its worker as well, so that news can be sent to it. */
struct CallNumber
{
  static constexpr unsigned kWorkerShift = 48;

  /** The "worker" of requests that other entry processes wait with. */
  static constexpr std::uint32_t kPeers = 0xffff;

  static std::uint64_t make(std::uint32_t aWorker, std::uint64_t aSequence)
  {
    return (std::uint64_t{ aWorker } << kWorkerShift) | aSequence;
  }
  static std::uint32_t workerOf(std::uint64_t aCall)
  {
    return static_cast<std::uint32_t>(aCall >> kWorkerShift);
  }
};

} // namespace masticwall
