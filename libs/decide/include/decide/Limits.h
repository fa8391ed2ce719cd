#pragma once

#include <core/Bytes.h>
#include <core/Time.h>
#include <cstddef>
#include <decide/ChoicePolicy.h>

namespace masticwall {

/** Limits that a preset sets for every entry process. */
struct Limits
{
  std::size_t maxHeaderBytes = 16 * kKiB;
  std::size_t maxBodyBytes = kMiB;
  int connectionsPerUpstream = 15; ///< of one entry process, over all its workers
  std::size_t queueLength = 200;   ///< waiting calls of one rank and service
  double overcommit = 1.25;        ///< in-flight limit over the even share of slots
  double retryBudget = 0.1;        ///< retries as a share of a service's calls
  double retryBurst = 10.0;        ///< retries of a service beyond that share
  Duration headerTimeout{ 0 };     ///< for a request's header; 0: as the settings say
  Duration idleTimeout{ 0 };       ///< between a connection's requests; 0: likewise
  int loadQueries = 0; ///< upstreams asked for their load before a call is sent

  /** Connections and the burst of retries are for all VMs together, not for each. */
  bool areShared = false;
  ChoicePolicy choice = ChoicePolicy::AgedLoad;
};

} // namespace masticwall
