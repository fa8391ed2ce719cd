#pragma once

#include <core/OrderedMutex.h>
#include <decide/SuspectList.h>

namespace masticwall {

/**
 * The suspects: requests during which an upstream crashed. Shared by all workers; see
 * SuspectList. Thread-safe; lock level Suspect.
 */
class SuspectTable
{
public:
  /** See SuspectList for all functions. */
  SuspectCount recordCrash(const Digest& aRequest,
                           const std::string& aReporter,
                           Instant aNow)
  {
    std::scoped_lock lock(mMutex);
    return mList.recordCrash(aRequest, aReporter, aNow);
  }

  bool merge(const SuspectCount& aCount, Instant aNow)
  {
    std::scoped_lock lock(mMutex);
    return mList.merge(aCount, aNow);
  }

  std::vector<SuspectCount> recordSuccess(const Digest& aRequest, Instant aNow)
  {
    std::scoped_lock lock(mMutex);
    return mList.recordSuccess(aRequest, aNow);
  }

  bool isEmpty() const
  {
    std::scoped_lock lock(mMutex);
    return mList.isEmpty();
  }

  bool isBlocked(const Digest& aRequest, Instant aNow) const
  {
    std::scoped_lock lock(mMutex);
    return mList.isBlocked(aRequest, aNow);
  }

  template<RandomSource R>
  bool tryTakeTrial(const Digest& aRequest, int aProcesses, Instant aNow, R& aRandom)
  {
    std::scoped_lock lock(mMutex);
    return mList.tryTakeTrial(aRequest, aProcesses, aNow, aRandom);
  }

  std::vector<SuspectCount> openCounts(Instant aNow) const
  {
    std::scoped_lock lock(mMutex);
    return mList.openCounts(aNow);
  }

private:
  mutable OrderedMutex mMutex{ LockLevel::Suspect };
  SuspectList mList;
};

} // namespace masticwall
