#include <algorithm>
#include <decide/PermitRate.h>

namespace masticwall {

namespace {

constexpr double kMinPerSecond = 0.25;
constexpr double kMaxPerSecond = 1e6; ///< far above what one upstream could run

} // namespace

double
permitRateOf(double aPerSecond)
{
  return std::clamp(aPerSecond, kMinPerSecond, kMaxPerSecond);
}

} // namespace masticwall
