#pragma once

#include "QuotaPlan.h"
#include <concepts>
#include <functional>
#include <random>

namespace masticwall::model {

/** A way to keep a tenant's calls within its quota. */
template<class W>
concept QuotaWay = requires(W& aWay, int aVm, const std::function<void()>& aSend)
{
  /** VM `aVm` has a call; calls `aSend`, now or later, if it may be sent. */
  aWay.call(aVm, aSend);

  /** The VM whose failures are played. */
  {
    aWay.issuer()
    } -> std::same_as<int>;

  /** Requests between VMs so far, and those that one VM served in a second at most. */
  {
    aWay.messages()
    } -> std::convertible_to<double>;
  {
    aWay.busiest()
    } -> std::convertible_to<double>;
};

} // namespace masticwall::model
