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
  /**
   * Counts an upstream's crash during `aRequest`, as seen by `aReporter`; returns the
   * reporter's count.
   */
  int recordCrash(const Digest& aRequest, const std::string& aReporter, Instant aNow)
  {
    std::scoped_lock lock(mMutex);
    return mList.recordCrash(aRequest, aReporter, aNow);
  }

  /** Raises the crash count of `aReporter` to `aCrashes`; false if it is not lower. */
  bool merge(const Digest& aRequest,
             const std::string& aReporter,
             int aCrashes,
             Instant aNow)
  {
    std::scoped_lock lock(mMutex);
    return mList.merge(aRequest, aReporter, aCrashes, aNow);
  }

  bool isEmpty() const
  {
    std::scoped_lock lock(mMutex);
    return mList.isEmpty();
  }

  /** True if the request has crashed too many upstreams to be sent again. */
  bool isBlocked(const Digest& aRequest, Instant aNow) const
  {
    std::scoped_lock lock(mMutex);
    return mList.isBlocked(aRequest, aNow);
  }

private:
  mutable OrderedMutex mMutex{ LockLevel::Suspect };
  SuspectList mList;
};

} // namespace masticwall
