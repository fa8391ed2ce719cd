#pragma once

#include <core/OrderedMutex.h>
#include <decide/AdmissionQueue.h>
#include <string>
#include <unordered_map>

namespace masticwall {

/** The admission queue of each service. Thread-safe; lock level Admission. */
class AdmissionTable
{
public:
  struct Depth
  {
    std::string service;
    int limit = 0;
    int inFlight = 0;
    std::array<std::size_t, kRankCount> waiting{};
  };

  void configure(const std::string& aService,
                 const AdmissionQueue::Policies& aPolicies,
                 int aLimit,
                 std::size_t aQueueLength);
  Admission offer(const std::string& aService, const Ticket& aTicket, Instant aNow);
  AdmissionRelease release(const std::string& aService, Instant aNow);
  bool cancel(const std::string& aService, const Ticket& aTicket);
  std::vector<Depth> snapshot() const;

private:
  mutable OrderedMutex mMutex{ LockLevel::Admission };
  std::unordered_map<std::string, AdmissionQueue> mQueues;
};

} // namespace masticwall
