#pragma once

#include <string>

namespace masticwall {

/** A service: a name and the settings of its interchangeable upstreams. */
struct Service
{
  std::string name;
  int slots = 4;            ///< calls that one upstream runs concurrently
  std::string healthPath{}; ///< HTTP path for load queries, which the upstream answers
                            ///< without queueing them; empty: none
};

} // namespace masticwall
