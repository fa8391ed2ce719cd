#pragma once

namespace masticwall {

/**
 * The operator's limit on hedges. A hedge is a second request of a call that may be
 * repeated, sent to another upstream while the first is still awaited.
 */
struct HedgePolicy
{
  double share = 0.0; ///< hedges per call of a service, over all VMs; 0: none are sent

  bool isEnabled() const { return share > 0.0; }
};

} // namespace masticwall
