#pragma once

#include <core/Outcome.h>
#include <core/Rank.h>
#include <core/Time.h>
#include <optional>
#include <string>

namespace masticwall {

/** The result and durations of a call that has ended, as input for the metrics. */
struct EndedCall
{
  Rank rank = Rank::Standard;
  Outcome outcome = Outcome::Unknown;
  std::string reason; ///< name of the CallError; empty for answered calls
  std::string route;
  std::string service;
  std::string tenant;                ///< as metrics name it; empty: the call has none
  Duration totalTime{ 0 };           ///< from its arrival to the response
  std::optional<Duration> queueTime; ///< from its arrival until first sent to an upstream
  std::optional<Duration> upstreamTime; ///< duration of the last attempt

  /** The outcome, followed by the reason if there is one, as in "not-run:overload". */
  std::string result() const
  {
    const std::string name(nameOf(outcome));
    return reason.empty() ? name : name + ':' + reason;
  }
};

} // namespace masticwall
