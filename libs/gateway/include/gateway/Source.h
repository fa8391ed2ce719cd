#pragma once

#include <concepts>
#include <core/Result.h>
#include <decide/Preset.h>
#include <functional>
#include <gateway/GatewaySettings.h>
#include <gateway/SourceReading.h>

namespace masticwall {

/**
 * Where the configuration and the list of VMs come from. Used on one thread; the
 * callbacks come there, later, once.
 */
template<class S>
concept Source = requires(S aSource,
                          const Vm& aOwn,
                          const GatewaySettings& aSettings,
                          const std::string& aText,
                          std::function<void(Result<SourceReading>)> aRead,
                          std::function<void(Result<VmList>)> aFound,
                          std::function<void(Result<void>)> aDone)
{
  aSource.read(aRead);

  /** Finds the VMs of masticwall only, which costs less than reading. */
  aSource.findVms(aFound);

  /** Lists this VM, so that others find it. */
  aSource.announce(aOwn, aDone);
  aSource.setBudgets(aSettings);
  {
    aSource.decodePreset(aText)
    } -> std::same_as<Result<Preset>>;
};

} // namespace masticwall
