#pragma once

#include <core/Rank.h>
#include <core/Time.h>
#include <cstdint>
#include <vector>

namespace masticwall::model {

/** The calls of one kind that all callers together make. */
struct CallKind
{
  Rank rank = Rank::Standard;
  double perSecond = 0.0;
  Duration work{ 0 };   ///< mean processing time on a host of normal speed
  Duration target{ 0 }; ///< latency target
  Duration deadline{ 0 };
};

/** A service, the entry processes in front of it, and its load. */
struct FleetPlan
{
  int entries = 1;
  int upstreams = 1;
  int dataCentres = 1; ///< entries and upstreams are spread evenly over them
  int slots = 4;
  int queueLength = 8; ///< calls that an upstream queues before it sheds
  std::vector<CallKind> kinds;

  double slowShare = 0.0;        ///< of the time that a host is slow
  double slowFactor = 4.0;       ///< how much longer work takes on a slow host
  Duration speedPeriod{ 300ms }; ///< mean time between changes of a host's speed
  double highLoad = 0.8;         ///< share of used slots above which work takes longer
  double highLoadFactor = 1.7;

  // What the system under test is configured to.
  int loadQueries = 3;
  int loadQuerySlots = 0;  ///< Limits::loadQuerySlots
  double retryRatio = 0.2; ///< over all entries
  double retryBurst = 0.0;

  std::uint64_t seed = 1;
};

} // namespace masticwall::model
