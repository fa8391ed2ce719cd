#pragma once

#include <core/Time.h>
#include <decide/Vm.h>

namespace masticwall {

/**
 * Merges a VM list, read from its source or received from another VM, with the list that
 * this VM has. An instance that was ever listed as leaving remains marked as leaving.
 * After an outage of the source, upstreams that are missing from its list are retained
 * for a short time (Vm::isRetained), as their entries may have expired during the outage.
 * Not thread-safe.
 *
 * After the source has come back from an older copy, entries that were written since are
 * missing until they are written again. Upstreams are retained as after an outage, and
 * masticwall VMs for longer: each learns of its own loss first.
 */
class VmListMerger
{
public:
  /** The source has come back from an older copy. */
  void onRestored(Instant aNow);

  /**
   * Merges `aRead`, which was read from the source at `aNow`, with `aKnown`, the current
   * list of this VM. `aLastReadAt` is the time of the previous read; Instant{} if there
   * was none.
   */
  VmList mergeFromSource(const VmList& aKnown,
                         VmList aRead,
                         Instant aLastReadAt,
                         Instant aNow);

  /**
   * Merges `aReceived`, a list that another VM sent and that arrived at `aNow`, with
   * `aKnown`, the current list of this VM, whose contents were read at `aLastReadAt`. The
   * other VM may have been the only one to lose the source. So an entry that it retains
   * is accepted only if this VM lists the same instance, and either the source was
   * unreachable for this VM too, or came back from an older copy, or this VM retains the
   * entry already. If `aKnown` is empty, all entries are accepted.
   */
  VmList mergeFromPeer(const VmList& aKnown,
                       VmList aReceived,
                       Instant aLastReadAt,
                       Instant aNow) const;

private:
  bool mustRetain(const Vm& aVm, Instant aNow) const;

  Instant mRetainUntil;        ///< missing upstreams are retained before this time
  Instant mRetainMembersUntil; ///< missing masticwall VMs are
};

} // namespace masticwall
