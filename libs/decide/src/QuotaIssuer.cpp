#include <algorithm>
#include <cmath>
#include <decide/QuotaIssuer.h>

namespace masticwall {

namespace {

using Seconds = std::chrono::duration<double>;

/** Of the credit that waiting calls leave, one VM gets at most this part ahead. */
constexpr double kAheadPart = 0.5;

constexpr Duration kMinPause = std::chrono::milliseconds(20);
constexpr Duration kMaxPause = std::chrono::milliseconds(500);
constexpr Duration kPauseChangePeriod = std::chrono::milliseconds(100);

/** Requests that suffice to use all credit, for each permit. */
constexpr double kRequestsPerPermit = 1.5;

constexpr Seconds kMaxRetryAfter = std::chrono::seconds(5);
constexpr Seconds kRequestsMemory = std::chrono::seconds(1);
constexpr Seconds kUnmetMemory = std::chrono::seconds(2);

/** Longer than any window, so that an account is new only if it was not used in one. */
constexpr Duration kForgetAfter = std::chrono::minutes(1);

/** Sums of fractions are slightly inexact. */
constexpr double kRoundingError = 1e-9;

} // namespace

void
QuotaIssuer::Account::refill(Instant aNow, double aCapacity)
{
  const Seconds elapsed(std::max(Duration{ 0 }, aNow - refilledAt));
  credit = std::min(aCapacity, credit + perSecond * elapsed.count());
  unmet *= std::exp(-elapsed / kUnmetMemory);
  requests = 1.0 + requests * std::exp(-elapsed / kRequestsMemory);
  refilledAt = aNow;
}

void
QuotaIssuer::Account::adaptPause(Instant aNow)
{
  if (aNow - pauseSetAt < kPauseChangePeriod) {
    return;
  }
  const auto enough = std::max(1.0, kRequestsPerPermit * perSecond);
  const auto next = Seconds(std::max(pause, kMinPause)) * (requests / enough);
  pause = std::clamp(std::chrono::duration_cast<Duration>(next), kMinPause, kMaxPause);
  pauseSetAt = aNow;
}

QuotaGrant
QuotaIssuer::issue(const QuotaRequest& aRequest,
                   const QuotaTerms& aTerms,
                   bool aIsAlone,
                   Instant aNow)
{
  const auto [it, isNew] = mAccounts.try_emplace(aRequest.tenant);
  auto& account = it->second;
  if (isNew) {
    account.credit = aTerms.initial;
    account.refilledAt = aNow;
  }
  account.refill(aNow, aTerms.capacity);
  account.perSecond = aIsAlone ? aTerms.perSecondAlone : aTerms.perSecond;
  account.credit =
    std::min(aTerms.capacity, account.credit + std::max(0, aRequest.returned));
  const auto whole = [&account] { return std::floor(account.credit + kRoundingError); };
  const auto needed = std::min<double>(std::max(0, aRequest.needed), whole());
  account.credit -= needed;
  const auto ahead =
    std::min<double>(std::max(0, aRequest.ahead), std::floor(kAheadPart * whole()));
  account.credit -= ahead;
  QuotaGrant grant;
  grant.tenant = aRequest.tenant;
  grant.permits = static_cast<int>(needed + ahead);
  const auto missing = aRequest.needed - needed;
  if (missing > 0.0) {
    // Until the calls that were refused before, too, could have been served.
    const auto timeFor = [&account](double aPermits) {
      const auto perSecond = std::max(account.perSecond, kRoundingError);
      return std::min(kMaxRetryAfter, Seconds(std::max(0.0, aPermits) / perSecond));
    };
    const auto one = std::chrono::duration_cast<Duration>(timeFor(1.0 - account.credit));
    account.unmet += missing;
    account.adaptPause(aNow);
    grant.nextIn = std::clamp(one, account.pause, kMaxPause);
    grant.retryAfter = std::max(
      one, std::chrono::duration_cast<Duration>(timeFor(account.unmet - account.credit)));
  }
  return grant;
}

void
QuotaIssuer::removeUnused(Instant aNow)
{
  std::erase_if(mAccounts, [aNow](const auto& aAccount) {
    return aNow - aAccount.second.refilledAt > kForgetAfter;
  });
}

} // namespace masticwall
