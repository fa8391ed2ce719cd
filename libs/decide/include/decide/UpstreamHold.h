#pragma once

#include <core/Time.h>
#include <decide/Vm.h>

namespace masticwall {

/**
 * Merges what the source lists, or another VM tells, with what is known here. An instance
 * that once was listed as leaving stays so. Not thread-safe.
 */
class UpstreamHold
{
public:
  /**
   * `aRead` was read at `aNow`, after `aLastRead`, when `aKnown` was the list. Entries
   * that are missing are held for a while after the source was out of reach, because they
   * may have lapsed with it.
   */
  VmList mergeRead(const VmList& aKnown, VmList aRead, Instant aLastRead, Instant aNow);

  /**
   * `aTold` is what another VM told at `aNow`, when `aKnown` was the list, of a reading
   * after `aLastRead`. Entries that it holds are taken only if they may have lapsed for
   * this VM as well: if they are known here, and the source was out of reach for it too
   * or they are held already. The other VM may have been out of reach alone.
   */
  static VmList mergeTold(const VmList& aKnown,
                          VmList aTold,
                          Instant aLastRead,
                          Instant aNow);

private:
  Instant mHoldUntil;
};

} // namespace masticwall
