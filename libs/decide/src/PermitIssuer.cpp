#include <algorithm>
#include <cmath>
#include <decide/PermitIssuer.h>
#include <decide/PermitRate.h>

namespace masticwall {

namespace {

using Seconds = std::chrono::duration<double>;

/** Credit is kept for this long, but at least kMinCapacity. */
constexpr Seconds kCreditPeriod = std::chrono::milliseconds(250);

/** Leaves room for one permit above the highest reserve. */
constexpr double kMinCapacity = 2.0;

/** Part of the capacity that is kept for more urgent calls, by rank. */
constexpr std::array<double, kRankCount> kReservedPart{ 0.0, 0.25, 0.5 };

constexpr double kOverdraftPart = 0.15;
constexpr double kMaxOverdraft = 1.0;

constexpr Duration kMinRequestPeriod = std::chrono::milliseconds(20);
constexpr Duration kForgetAfter = std::chrono::minutes(1);

/** Sums of fractions are slightly inexact. */
constexpr double kRoundingError = 1e-9;

} // namespace

double
PermitIssuer::Account::capacity() const
{
  return std::max(kMinCapacity, perSecond * kCreditPeriod.count());
}

void
PermitIssuer::Account::refill(Instant aNow)
{
  const Seconds elapsed(std::max(Duration{ 0 }, aNow - refilledAt));
  const auto earned = perSecond * elapsed.count();
  credit = std::min(capacity(), credit + earned);
  overdraft = std::min(kMaxOverdraft, overdraft + kOverdraftPart * earned);
  refilledAt = aNow;
}

int
PermitIssuer::Account::take(int aWanted, double aReserve, bool aMayOverdraw)
{
  const auto available = std::floor(credit - aReserve + kRoundingError);
  if (available >= 1.0) {
    const auto permits = std::min<double>(available, aWanted);
    credit -= permits;
    return static_cast<int>(permits);
  }
  if (!aMayOverdraw || overdraft < 1.0) {
    return 0;
  }
  overdraft -= 1.0;
  return 1;
}

PermitGrant
PermitIssuer::issue(const PermitRequest& aRequest, double aPart, Instant aNow)
{
  const auto limitStatedAt = aNow - aRequest.limitAge;
  const auto [it, isNew] =
    mAccounts.try_emplace({ aRequest.upstream, aRequest.instance });
  auto& account = it->second;
  if (isNew) {
    account.refilledAt = aNow;
  }
  account.refill(aNow);
  if (isNew || limitStatedAt >= account.limitStatedAt) {
    account.limit = aRequest.perSecond;
    account.limitStatedAt = limitStatedAt;
  }
  account.perSecond = aPart * permitRateOf(account.limit);
  const auto reserve = kReservedPart[indexOf(aRequest.rank)] * account.capacity();
  const auto permits =
    account.take(std::max(1, aRequest.wanted), reserve, aRequest.isLastResort);
  if (permits > 0) {
    return { permits, Duration{ 0 } };
  }
  const Seconds wait((1.0 + reserve - account.credit) / account.perSecond);
  return { 0, std::max(kMinRequestPeriod, std::chrono::duration_cast<Duration>(wait)) };
}

double
PermitIssuer::rateForBound(double aBound)
{
  return std::min(aBound - kMinCapacity, aBound / (1.0 + kCreditPeriod.count()));
}

void
PermitIssuer::removeUnused(Instant aNow)
{
  std::erase_if(mAccounts, [aNow](const auto& aAccount) {
    return aNow - aAccount.second.refilledAt > kForgetAfter;
  });
}

} // namespace masticwall
