#pragma once

#include <string>

namespace masticwall {

/** A group of interchangeable upstreams. */
struct Service
{
  std::string name;
  int slots = 4;            ///< calls that one upstream runs at a time
  std::string healthPath{}; ///< answered at once, with the load; empty: there is none
};

} // namespace masticwall
