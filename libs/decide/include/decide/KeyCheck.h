#pragma once

#include <core/CallError.h>
#include <core/Time.h>
#include <decide/CallerCredential.h>
#include <decide/KeyVerdict.h>
#include <decide/Preset.h>
#include <optional>

namespace masticwall {

/**
 * Whether a call may go on, by the key that it carries, and whose call it is.
 *
 * The load that this answers: calls of thousands of tenants, each with a few keys that
 * are added and withdrawn while connections stay open, among calls with keys that were
 * never given out; on VMs some of which haven't heard of the configuration for a while.
 * What such a VM doesn't know may have been added since, so it refuses an unknown key as
 * one that it can't judge. Whether it goes on with the keys that it knows, the operator
 * decides (KeyPolicy).
 */
struct KeyCheck
{
  KeyVerdict verdict = KeyVerdict::NotNeeded;
  const Tenant* tenant = nullptr; ///< owned by the preset; null: none is known

  /** `aSourceAge`: since this VM or a peer has read the configuration's source. */
  static KeyCheck of(const Preset& aPreset,
                     const Route& aRoute,
                     const CallerCredential& aCredential,
                     Duration aSourceAge);

  /** Why the call is refused; nothing: it may go on. */
  std::optional<CallError> refusal() const;
};

} // namespace masticwall
