#pragma once

namespace masticwall {

/**
 * Bandwidth of the links to other regions that the calls of one entry process may use; a
 * token bucket that holds the bytes of one second.
 */
struct LinkBudget
{
  double bytesPerSecond = 100'000;
  double urgentReserve = 0.5; ///< fraction of the bucket kept for urgent calls, 0 to 1
};

} // namespace masticwall
