#pragma once

#include <core/Time.h>

namespace masticwall {

/** The recent rate of a tenant's calls in this VM. Not thread-safe. */
class QuotaForecast
{
public:
  void recordCall(Instant aNow);

  /** Calls that are expected within `aTime`; rounded down. */
  int expectedWithin(Duration aTime, Instant aNow) const;

private:
  double rateAt(Instant aNow) const;

  double mPerSecond = 0.0; ///< at mUpdatedAt
  Instant mUpdatedAt;
};

} // namespace masticwall
