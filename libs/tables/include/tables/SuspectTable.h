#pragma once

#include <core/OrderedMutex.h>
#include <decide/SuspectList.h>

namespace masticwall {

/** The suspect requests, shared by all workers. Thread-safe; lock level Suspect. */
class SuspectTable
{
public:
  int noteDeath(const Digest& aRequest, const std::string& aReporter, Instant aNow)
  {
    std::scoped_lock lock(mMutex);
    return mList.noteDeath(aRequest, aReporter, aNow);
  }

  bool merge(const Digest& aRequest,
             const std::string& aReporter,
             int aDeaths,
             Instant aNow)
  {
    std::scoped_lock lock(mMutex);
    return mList.merge(aRequest, aReporter, aDeaths, aNow);
  }

  bool isEmpty() const
  {
    std::scoped_lock lock(mMutex);
    return mList.isEmpty();
  }

  bool isStopped(const Digest& aRequest, Instant aNow) const
  {
    std::scoped_lock lock(mMutex);
    return mList.isStopped(aRequest, aNow);
  }

private:
  mutable OrderedMutex mMutex{ LockLevel::Suspect };
  SuspectList mList;
};

} // namespace masticwall
