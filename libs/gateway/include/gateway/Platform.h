#pragma once

#include <entry/Dialect.h>
#include <gateway/GatewaySettings.h>
#include <gateway/Source.h>

namespace masticwall {

/** What masticwall meets at the place where it runs. It translates and decides nothing.
 */
template<class P>
concept Platform = Dialect<typename P::Dialect> && Source<typename P::Source> &&
  std::constructible_from<typename P::Source, const GatewaySettings&> &&
  requires(const std::string& aPath)
{
  {
    P::readSettings(aPath)
    } -> std::same_as<Result<GatewaySettings>>;
};

} // namespace masticwall
