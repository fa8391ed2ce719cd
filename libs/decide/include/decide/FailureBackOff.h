#pragma once

#include <decide/UpstreamState.h>

namespace masticwall {

/**
 * How long an upstream is avoided after failures.
 *
 * The load that this answers: upstreams that are gone or fail part of their calls. The
 * time doubles with each failure in a row, up to seconds; shedding stops calls for a
 * moment only.
 */
struct FailureBackOff
{
  static void onAnswered(UpstreamState& aState);

  /** A 5xx response. A single one may be caused by the request, several in a row by the
   * upstream. */
  static void onErrorResponse(UpstreamState& aState, Instant aNow);

  /** A call or a load query got no valid response. */
  static void onFailure(UpstreamState& aState, Instant aNow);

  static void onShed(UpstreamState& aState, Instant aNow);
};

} // namespace masticwall
