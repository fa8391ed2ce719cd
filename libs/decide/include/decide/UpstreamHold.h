#pragma once

#include <core/Time.h>
#include <decide/Vm.h>

namespace masticwall {

/**
 * Merges what the source lists with what is known. Entries that are missing are held for
 * a while after the source was out of reach, because they may have lapsed with it; an
 * instance that once was listed as leaving stays so. Not thread-safe.
 */
class UpstreamHold
{
public:
  /** `aRead` was read at `aNow`, after `aLastRead`, when `aKnown` was the list. */
  VmList merge(const VmList& aKnown, VmList aRead, Instant aLastRead, Instant aNow);

private:
  Instant mHoldUntil;
};

} // namespace masticwall
