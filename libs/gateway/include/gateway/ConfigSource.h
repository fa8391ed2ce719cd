#pragma once

#include <concepts>
#include <core/Result.h>
#include <decide/Preset.h>
#include <functional>
#include <gateway/GatewaySettings.h>
#include <gateway/SourceSnapshot.h>

namespace masticwall {

/**
 * The service that stores the configuration and the list of VMs. Used on one thread,
 * where each callback is called once, never from within the call.
 */
template<class S>
concept ConfigSource = requires(S aSource,
                                const Vm& aOwn,
                                const GatewaySettings& aSettings,
                                const std::string& aText,
                                std::function<void(Result<SourceSnapshot>)> aRead,
                                std::function<void(Result<VmList>)> aFound,
                                std::function<void(Result<void>)> aDone)
{
  /** Reads the configuration and all VMs. */
  aSource.read(aRead);

  /** Reads the list of masticwall VMs only, which costs less than read(). */
  aSource.findVms(aFound);

  /** Adds this VM to the list, so that others find it. */
  aSource.announce(aOwn, aDone);

  /** Sets the retry and probe budgets of presets that are decoded from now on. */
  aSource.setBudgets(aSettings);
  {
    aSource.decodePreset(aText)
    } -> std::same_as<Result<Preset>>;
};

} // namespace masticwall
