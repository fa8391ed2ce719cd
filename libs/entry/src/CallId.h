#pragma once

#include <cstdint>

namespace masticwall {

/** Layout of a call's id: the owning worker's index in the upper 16 bits, so that events
 * can be posted to that worker, and a sequence number below. */
struct CallId
{
  static constexpr unsigned kWorkerShift = 48;

  /** Worker index that marks a waiter as a request from another entry process. */
  static constexpr std::uint32_t kPeerWorker = 0xffff;

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
