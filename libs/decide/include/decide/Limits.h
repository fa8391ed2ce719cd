#pragma once

#include <core/Bytes.h>
#include <core/Time.h>
#include <cstddef>
#include <decide/LoadBalancingPolicy.h>

namespace masticwall {

/** Limits that a preset sets for every entry process. */
struct Limits
{
  std::size_t maxHeaderBytes = 16 * kKiB;
  std::size_t maxBodyBytes = kMiB;
  int connectionsPerUpstream = 15; ///< of one entry process, all workers together
  std::size_t queueLength = 200;   ///< waiting calls for each rank of a service
  double overcommit = 1.25;        ///< in-flight limit / even share of the slots
  double retryBudget = 0.1;        ///< retries as a fraction of a service's calls
  double retryBurst = 10.0;        ///< retries of a service beyond that fraction
  Duration headerTimeout{ 0 };     ///< to read a request's header; 0: see the settings
  Duration idleTimeout{ 0 }; ///< between a connection's requests; 0: see the settings
  int loadQueries = 0;       ///< upstreams queried for their load before a call is sent

  /** `connectionsPerUpstream` and `retryBurst` are totals over all VMs, not for each. */
  bool areSharedByAllVms = false;
  LoadBalancingPolicy choice = LoadBalancingPolicy::AgedLoad;
};

} // namespace masticwall
