#pragma once

#include <core/Time.h>
#include <decide/Vm.h>
#include <map>
#include <string>

namespace masticwall {

/**
 * The upstream instances that were taken off the list lately. Not thread-safe.
 *
 * The load that this answers: a source that comes back from an older copy, in which
 * upstreams that have left since are listed as active. Entries of instances that were
 * gone before are not believed until the source would have dropped them by itself: those
 * that are listed then are alive.
 */
class GoneInstances
{
public:
  /** The list changes from `aBefore` to `aAfter`. */
  void onListChange(const VmList& aBefore, const VmList& aAfter, Instant aNow);

  /** The source has come back from an older copy. */
  void onRestored(Instant aNow);

  /** Removes the entries that are not believed. */
  void removeStale(VmList& aVms, Instant aNow) const;

private:
  struct Key
  {
    std::string name;
    std::string instance;
    auto operator<=>(const Key&) const = default;
  };

  std::map<Key, Instant> mGoneAt;
  Instant mRestoredAt; ///< Instant{}: never
};

} // namespace masticwall
