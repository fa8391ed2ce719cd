#pragma once

#include <concepts>
#include <core/Result.h>
#include <decide/Preset.h>
#include <functional>
#include <gateway/GatewaySettings.h>
#include <gateway/SourceSnapshot.h>

namespace masticwall {

/**
 * The service that stores the preset and the list of VMs. Used on one thread, where each
 * callback is called once, with a value or an error, and never from within the call.
 */
template<class S>
concept ConfigSource = requires(S aSource,
                                const Vm& aOwn,
                                const GatewaySettings& aSettings,
                                const std::string& aText,
                                std::function<void(Result<SourceSnapshot>)> aOnSnapshot,
                                std::function<void(Result<VmList>)> aOnVmList,
                                std::function<void(Result<void>)> aDone)
{
  /** Reads the preset and all VMs. */
  aSource.read(aOnSnapshot);

  /** Reads the list of masticwall VMs only, which costs less than read(). */
  aSource.readVmList(aOnVmList);

  /** Adds this VM to the list of masticwall VMs, so that the others find it. */
  aSource.announce(aOwn, aDone);

  /** Takes a VM of masticwall that is gone off that list. */
  aSource.withdraw(aText, aDone);

  /** Sets the retry and probe budgets of presets that are decoded from now on. */
  aSource.setBudgets(aSettings);

  /** Decodes a preset, with the budgets that were set last. */
  {
    aSource.decodePreset(aText)
    } -> std::same_as<Result<Preset>>;
};

} // namespace masticwall
