#include <algorithm>
#include <cmath>
#include <decide/QuotaTerms.h>

namespace masticwall {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr double kMaxPerSecond = 1e6; ///< far above what a tenant could send

/** The time by which permits may be used late, in all. */
constexpr Seconds kMinSpread = std::chrono::milliseconds(250);
constexpr Seconds kMaxSpread = std::chrono::seconds(2);

// Parts of the spread.
constexpr double kStockPart = 0.2;
constexpr double kCallPart = 0.4;
constexpr double kCapacityPart = 0.05;
constexpr double kInitialPart = 0.15;
constexpr double kAlonePart = 0.075; ///< once for the issuer, once for all others

// Parts of the slack.
constexpr double kCapacitySlack = 0.15;
constexpr double kInitialSlack = 0.25;
constexpr double kAloneSlack = 0.125;

double
notNegative(double aNumber)
{
  return std::isfinite(aNumber) ? std::max(0.0, aNumber) : 0.0;
}

Duration
toDuration(Seconds aTime)
{
  return std::chrono::duration_cast<Duration>(aTime);
}

} // namespace

bool
hasValidQuota(const Tenant& aTenant)
{
  return std::isfinite(aTenant.perSecond) && aTenant.perSecond >= 0.0 &&
         std::isfinite(aTenant.burst) && aTenant.burst >= 0.0;
}

std::optional<QuotaTerms>
QuotaTerms::of(const Tenant& aTenant, const QuotaTolerance& aTolerance)
{
  if (!std::isfinite(aTenant.perSecond) || aTenant.perSecond <= 0.0) {
    return std::nullopt;
  }
  const auto rate = std::min(aTenant.perSecond, kMaxPerSecond);
  const Seconds window(std::max<Duration>(aTolerance.window, std::chrono::seconds(1)));
  const auto over = notNegative(aTolerance.over);
  const auto slack = notNegative(aTolerance.slack);
  const auto spread = std::clamp(over * window, kMinSpread, kMaxSpread);
  QuotaTerms terms;
  terms.perSecond =
    rate * std::min(1.0, (1.0 + over) * window.count() / (window + spread).count());
  const auto late = terms.perSecond * spread.count();
  terms.capacity = std::max(
    1.0, notNegative(aTenant.burst) + kCapacitySlack * slack + kCapacityPart * late);
  terms.initial =
    std::clamp(kInitialSlack * slack + kInitialPart * late, 1.0, terms.capacity);
  terms.perSecondAlone = (kAloneSlack * slack + kAlonePart * late) / window.count();
  terms.stockLifetime = toDuration(kStockPart * spread);
  terms.callLifetime = toDuration(kCallPart * spread);
  return terms;
}

} // namespace masticwall
