#pragma once

#include <string>

namespace masticwall {

/** A service's part in a route that several services share. */
struct SplitPart
{
  std::string service;
  double weight = 1.0; ///< relative to the other parts' weights

  bool operator==(const SplitPart&) const = default;
};

} // namespace masticwall
