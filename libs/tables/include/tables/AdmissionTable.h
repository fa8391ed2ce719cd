#pragma once

#include <core/OrderedMutex.h>
#include <decide/AdmissionQueue.h>
#include <decide/InFlightLimit.h>
#include <string>
#include <unordered_map>

namespace masticwall {

/**
 * The admission queues of one entry process, by service name. Thread-safe; lock level
 * Admission.
 */
class AdmissionTable
{
public:
  /** The state of one service's queue, for metrics. */
  struct QueueState
  {
    std::string service;
    int limit = 0;                                 ///< maximum number of calls in flight
    int inFlight = 0;                              ///< calls
    std::array<std::size_t, kRankCount> waiting{}; ///< calls, by rank
  };

  /**
   * Sets the policies of the service's queue: the limit of calls in flight, and at most
   * `aQueueLength` waiting calls of each rank; see AdmissionQueue::configure().
   */
  void configure(const std::string& aService,
                 const AdmissionQueue::Policies& aPolicies,
                 const InFlightLimit& aLimit,
                 std::size_t aQueueLength);

  /** Starts, queues or refuses a call. `aHasRoom`: see UpstreamPool::hasRoom(). */
  Admission offer(const std::string& aService,
                  const AdmissionRequest& aAdmissionRequest,
                  bool aHasRoom,
                  Instant aNow);

  /** Ends a started call; returns the waiting calls to start and those to drop. */
  AdmissionRelease release(const std::string& aService, Instant aNow);

  /** Removes and returns the waiting calls of a service of `aRank` and of less urgent
   * ones. */
  std::vector<AdmissionRequest> removeWaiting(const std::string& aService, Rank aRank);

  /** Removes a waiting call; false if it is not waiting. */
  bool cancel(const std::string& aService, const AdmissionRequest& aAdmissionRequest);

  /** Whether calls of the service wait. */
  bool hasWaiting(const std::string& aService) const;

  /** The state of all queues, in no particular order. */
  std::vector<QueueState> snapshot() const;

private:
  mutable OrderedMutex mMutex{ LockLevel::Admission };
  std::unordered_map<std::string, AdmissionQueue> mQueues;
  std::unordered_map<std::string, int> mMargins; ///< InFlightLimit::margin, by service
};

} // namespace masticwall
