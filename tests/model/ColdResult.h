#pragma once

namespace masticwall::model {

/** What the upstream got while it was cold. */
struct ColdResult
{
  int worstSecond = 0; ///< requests within any second
  int firstSecond = 0; ///< requests within any second of the first two
  int uninformed = 0;  ///< requests of VMs that did not know yet
  double used = 0.0;   ///< requests in all, as a part of the permits' rate
};

} // namespace masticwall::model
