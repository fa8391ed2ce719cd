#pragma once

#include <core/Time.h>
#include <map>
#include <string>

namespace masticwall {

/**
 * How long the first reply of an upstream to a load query takes, by data centre. It comes
 * on a new connection.
 *
 * The load that this answers: data centres so far apart that such a reply arrives after
 * the call has been sent. Upstreams without a report must not be preferred there for
 * their unknown load: in a flood all near ones look worse, and calls would go to far ones
 * unseen. Not thread-safe.
 */
class LoadReplyTimes
{
public:
  /** Time for which a call waits for replies to its load queries. */
  static constexpr Duration kMaxWait = std::chrono::milliseconds(12);

  void record(const std::string& aDataCentre, Duration aTime);

  /** Whether replies from there usually take longer than kMaxWait; false if unknown. */
  bool areLate(const std::string& aDataCentre) const;

private:
  std::map<std::string, Duration> mMeans; ///< moving averages
};

} // namespace masticwall
