#pragma once

#include <string>

namespace masticwall {

/** A service and its weight in a route that splits its traffic over several services. */
struct WeightedService
{
  std::string service;
  double weight = 1.0; ///< relative to the weights of the route's other services

  bool operator==(const WeightedService&) const = default;
};

} // namespace masticwall
