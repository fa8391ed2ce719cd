#include <tables/AdmissionTable.h>

namespace masticwall {

void
AdmissionTable::configure(const std::string& aService,
                          const AdmissionQueue::Policies& aPolicies,
                          int aLimit,
                          std::size_t aQueueLength)
{
  std::scoped_lock lock(mMutex);
  mQueues[aService].configure(aPolicies, aLimit, aQueueLength);
}

Admission
AdmissionTable::offer(const std::string& aService, const Ticket& aTicket, Instant aNow)
{
  std::scoped_lock lock(mMutex);
  return mQueues[aService].offer(aTicket, aNow);
}

AdmissionRelease
AdmissionTable::release(const std::string& aService, Instant aNow)
{
  std::scoped_lock lock(mMutex);
  return mQueues[aService].release(aNow);
}

bool
AdmissionTable::cancel(const std::string& aService, const Ticket& aTicket)
{
  std::scoped_lock lock(mMutex);
  return mQueues[aService].cancel(aTicket);
}

std::vector<AdmissionTable::Depth>
AdmissionTable::snapshot() const
{
  std::scoped_lock lock(mMutex);
  std::vector<Depth> depths;
  for (const auto& [service, queue] : mQueues) {
    Depth depth{ service, queue.limit(), queue.inFlight(), {} };
    for (const auto& it : EnumTable<Rank>::kEntries) {
      depth.waiting[indexOf(it.value)] = queue.waiting(it.value);
    }
    depths.push_back(depth);
  }
  return depths;
}

} // namespace masticwall
