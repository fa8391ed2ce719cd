#include <tables/AdmissionTable.h>

namespace masticwall {

void
AdmissionTable::configure(const std::string& aService,
                          const AdmissionQueue::Policies& aPolicies,
                          const InFlightLimit& aLimit,
                          std::size_t aQueueLength)
{
  std::scoped_lock lock(mMutex);
  mMargins[aService] = aLimit.margin;
  mQueues[aService].configure(aPolicies, aLimit.share, aQueueLength);
}

Admission
AdmissionTable::offer(const std::string& aService,
                      const AdmissionRequest& aAdmissionRequest,
                      bool aHasRoom,
                      Instant aNow)
{
  std::scoped_lock lock(mMutex);
  auto& queue = mQueues[aService];
  queue.setMargin(aHasRoom ? mMargins[aService] : 0);
  return queue.offer(aAdmissionRequest, aNow);
}

AdmissionRelease
AdmissionTable::release(const std::string& aService, Instant aNow)
{
  std::scoped_lock lock(mMutex);
  return mQueues[aService].release(aNow);
}

std::vector<AdmissionRequest>
AdmissionTable::removeWaiting(const std::string& aService, Rank aRank)
{
  std::scoped_lock lock(mMutex);
  return mQueues[aService].removeWaiting(aRank);
}

bool
AdmissionTable::cancel(const std::string& aService,
                       const AdmissionRequest& aAdmissionRequest)
{
  std::scoped_lock lock(mMutex);
  return mQueues[aService].cancel(aAdmissionRequest);
}

bool
AdmissionTable::hasWaiting(const std::string& aService) const
{
  std::scoped_lock lock(mMutex);
  const auto it = mQueues.find(aService);
  return it != mQueues.end() && it->second.hasWaiting();
}

std::vector<AdmissionTable::QueueState>
AdmissionTable::snapshot() const
{
  std::scoped_lock lock(mMutex);
  std::vector<QueueState> states;
  for (const auto& [service, queue] : mQueues) {
    QueueState state{ service, queue.limit(), queue.inFlight(), {} };
    for (const auto& it : EnumTable<Rank>::kEntries) {
      state.waiting[indexOf(it.value)] = queue.waiting(it.value);
    }
    states.push_back(state);
  }
  return states;
}

} // namespace masticwall
