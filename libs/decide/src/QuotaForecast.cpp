#include <cmath>
#include <decide/QuotaForecast.h>

namespace masticwall {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr Seconds kMemory = std::chrono::milliseconds(500);

} // namespace

double
QuotaForecast::rateAt(Instant aNow) const
{
  return mPerSecond * std::exp(-Seconds(aNow - mUpdatedAt) / kMemory);
}

void
QuotaForecast::recordCall(Instant aNow)
{
  mPerSecond = rateAt(aNow) + 1.0 / kMemory.count();
  mUpdatedAt = aNow;
}

int
QuotaForecast::expectedWithin(Duration aTime, Instant aNow) const
{
  return static_cast<int>(rateAt(aNow) * Seconds(aTime).count());
}

} // namespace masticwall
