#pragma once

#include <core/Rank.h>
#include <core/Time.h>
#include <cstdint>
#include <decide/Locality.h>
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
  int regions = 1;     ///< data centres are spread evenly over them
  int slots = 4;
  int queueLength = 8;        ///< calls that an upstream queues before it sheds
  bool hangsWhenFull = false; ///< never answers a call instead of shedding it
  std::vector<CallKind> kinds;
  int callers = 0; ///< each keeps to one entry, drawn at random; 0: as many as calls

  double slowShare = 0.0;        ///< of the time that a host is slow
  double slowFactor = 4.0;       ///< how much longer work takes on a slow host
  Duration speedPeriod{ 300ms }; ///< mean time between changes of a host's speed
  double highLoad = 0.8;         ///< share of used slots above which work takes longer
  double highLoadFactor = 1.7;

  Duration oneWay{ 1ms };                ///< network latency in a data centre
  Duration otherDataCentreOneWay{ 1ms }; ///< to another one of the same region
  Duration otherRegionOneWay{ 1ms };
  /** An idle connection is closed after this time; a new one takes a round trip. Zero: as
   * if all connections were open. */
  Duration idleClose{ 0 };
  Duration messageTime{ 0 }; ///< processor time of an entry for each message

  // What the system under test is configured to.
  Duration maxQueryWait = Duration::max(); ///< for replies to load queries
  Locality locality;                       ///< for its penalties
  int loadQueries = 3;
  int loadQuerySlots = 0;    ///< Limits::loadQuerySlots
  bool hasMargin = true;     ///< InFlightLimit::margin is used
  bool knowsDistance = true; ///< LoadReplyTimes are kept
  double retryRatio = 0.2;   ///< over all entries
  double retryBurst = 0.0;

  std::uint64_t seed = 1;
};

} // namespace masticwall::model
