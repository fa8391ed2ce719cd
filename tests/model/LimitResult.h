#pragma once

namespace masticwall::model {

/** What the upstream got. */
struct LimitResult
{
  int worstWindow = 0; ///< requests within 4 s at most
  double used = 0.0;   ///< requests in all, as a part of what the limit allows
};

} // namespace masticwall::model
