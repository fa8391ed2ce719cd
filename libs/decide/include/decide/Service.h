#pragma once

#include <core/Time.h>
#include <string>

namespace masticwall {

/** A service: a name and the settings of its interchangeable upstreams. */
struct Service
{
  std::string name;
  int slots = 4;            ///< calls that one upstream runs concurrently
  Duration warmUpTime{ 0 }; ///< for which an upstream is cold after its start
  double warmUpPerSecond =
    0.0; ///< requests a second that a cold upstream takes from all VMs; 0: not limited
  std::string healthPath{}; ///< HTTP path for load queries, which the upstream answers
                            ///< without queueing them; empty: none
};

} // namespace masticwall
