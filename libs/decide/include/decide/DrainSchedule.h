#pragma once

#include <core/Time.h>

namespace masticwall {

/**
 * When a process that drains must have ended, and which calls it may still send to
 * upstreams.
 *
 * The load that this answers: requests on open connections that arrive late in the drain.
 * A call whose deadline lies beyond the end could be cut off without an answer, so it is
 * refused while another VM can still run it. Before the end of the notice period, when
 * callers don't yet know that the process drains, this holds for orders only; other calls
 * usually end long before their deadlines, and may be sent again.
 */
struct DrainSchedule
{
  Instant noticeEndsAt;
  Instant endsAt; ///< calls that are left then are cut off

  bool maySend(Instant aCallDeadline, bool aIsOrder, Instant aNow) const
  {
    return aCallDeadline <= endsAt || (!aIsOrder && aNow < noticeEndsAt);
  }
};

} // namespace masticwall
