#pragma once

namespace masticwall::model {

/** What came of a tenant's calls. */
struct QuotaResult
{
  double worstWindow = 0.0; ///< calls sent within a window, as a part of what is allowed
  double used = 0.0;        ///< calls sent, as a part of quota or demand, the lower one
  double meanWaitMs = 0.0;  ///< of a call that is sent, for its permit
  double messages = 0.0;    ///< requests a second, of all VMs
  double busiest = 0.0;     ///< requests that one VM serves in a second at most
};

} // namespace masticwall::model
