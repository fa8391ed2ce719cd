#pragma once

#include <entry/Dialect.h>
#include <gateway/ConfigSource.h>
#include <gateway/GatewaySettings.h>
#include <runtime/TimerService.h>

namespace masticwall {

/**
 * The adapter to the platform that masticwall runs on: the dialect of callers and
 * upstreams, the source of configuration and VMs, and the format of the settings. It only
 * translates; decisions are made elsewhere.
 */
template<class P>
concept Platform = Dialect<typename P::Dialect> &&
  ConfigSource<typename P::ConfigSource> && std::
    constructible_from<typename P::ConfigSource, TimerService&, const GatewaySettings&> &&
  requires(const std::string& aPath)
{
  {
    P::readSettings(aPath)
    } -> std::same_as<Result<GatewaySettings>>;
};

} // namespace masticwall
