#pragma once

namespace masticwall {

/** How much of the link between regions the calls of one entry process may use. */
struct LinkBudget
{
  double bytesPerSecond = 100'000;
  double urgentReserve = 0.5; ///< share of the bucket that only urgent calls may use
};

} // namespace masticwall
