#pragma once

#include <core/Outcome.h>
#include <core/Rank.h>
#include <core/Time.h>
#include <optional>
#include <string>

namespace masticwall {

/** What is measured of a call that has ended. */
struct EndedCall
{
  Rank rank = Rank::Standard;
  Outcome outcome = Outcome::Unknown;
  std::string reason; ///< the error's name, empty for answered calls
  std::string route;
  std::string service;
  Duration total{ 0 };              ///< from its arrival to its answer
  std::optional<Duration> queued;   ///< until it was sent first
  std::optional<Duration> upstream; ///< the last attempt

  /** The outcome, with the reason if there is one: "not-run:overload". */
  std::string result() const
  {
    const std::string name(nameOf(outcome));
    return reason.empty() ? name : name + ':' + reason;
  }
};

} // namespace masticwall
