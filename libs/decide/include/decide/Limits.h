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
  int connectionsPerUpstream = 15;  ///< for one entry process, divided among its workers
  std::size_t maxQueueLength = 200; ///< max waiting calls for each rank of a service

  /**
   * A service's in-flight limit in an entry process, as a multiple of the process's even
   * share of the slots in its region.
   */
  double overcommit = 1.25;

  double retryBudget = 0.1;    ///< retries as a ratio of a service's calls
  double retryBurst = 10.0;    ///< retries of a service at once, beyond that ratio
  Duration headerTimeout{ 0 }; ///< to receive a request; ignored if idleTimeout is 0
  Duration idleTimeout{ 0 };   ///< between a connection's requests; 0: as in the settings
  int loadQueries = 0;         ///< upstreams queried for their load before a call is sent
  int loadQuerySlots = 12; ///< more are queried until they have that many slots together

  /**
   * True: `connectionsPerUpstream` and `retryBurst` are totals, divided among the entry
   * processes of all VMs. False: each entry process has them in full.
   */
  bool areSharedByAllVms = false;

  /** How an upstream is chosen for a call. */
  LoadBalancingPolicy choice = LoadBalancingPolicy::AgedLoad;
};

} // namespace masticwall
