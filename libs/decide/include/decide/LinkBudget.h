#pragma once

namespace masticwall {

/** Bandwidth between regions that the calls of one entry process may use. */
struct LinkBudget
{
  double bytesPerSecond = 100'000;
  double urgentReserve =
    0.5; ///< fraction of the token bucket kept for urgent calls, 0 to 1
};

} // namespace masticwall
