#pragma once

#include "LimitPlan.h"
#include <concepts>
#include <random>

namespace masticwall::model {

/** A way to share a request limit among VMs. */
template<class W>
concept LimitWay = requires(W& aWay, int aVm, const std::function<void()>& aSend)
{
  /** VM `aVm` has a call; calls `aSend`, now or later, if it may be sent. */
  aWay.call(aVm, aSend);
};

} // namespace masticwall::model
