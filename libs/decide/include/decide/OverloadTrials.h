#pragma once

#include <core/Time.h>
#include <optional>

namespace masticwall {

/**
 * When a call is sent although the estimates of all upstreams of its service exceed its
 * limit. Not thread-safe.
 *
 * The load that this answers: estimates that are high for a reason that has passed, as
 * after a time in which all upstreams were slow. Only calls can lower them, and none is
 * sent. In a flood this process has calls in flight or sees no upstream with a slot free,
 * and then there are no trials; without reports of the upstreams' load, there are fewer
 * and fewer of them, so that those of many processes don't fill queues.
 */
class OverloadTrials
{
public:
  /** A call is sent within its limit. */
  void onSent() { mNextAt.reset(); }

  /**
   * A call finds no upstream within its limit, while this process has none in flight to
   * the service. Returns true if it is to be sent all the same.
   */
  bool tryStart(Instant aNow);

private:
  std::optional<Instant> mNextAt; ///< empty: the last call was sent within its limit
  Duration mPeriod{ 0 };          ///< from the last trial to the next one
};

} // namespace masticwall
