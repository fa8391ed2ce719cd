#include <algorithm>
#include <decide/QuotaRouter.h>

namespace masticwall {

namespace {

/** An issuer that has not replied is not asked for this long, doubling up to the highest.
 * Substitutes ask again sooner, as two VMs issue permits meanwhile. */
constexpr Duration kSkipTime = std::chrono::seconds(1);
constexpr Duration kMaxSkipTime = std::chrono::seconds(2);
constexpr Duration kRelaySkipTime = std::chrono::milliseconds(150);

/** A substitute believes an issuer to be lost after so many requests without a reply. */
constexpr int kRelayLosses = 2;

} // namespace

void
QuotaRouter::setIssuers(QuotaIssuers aIssuers)
{
  mIssuers = std::move(aIssuers);
  mIssuersOfTenants.clear();
  std::erase_if(
    mSkips, [this](const auto& aSkip) { return !mIssuers.contains(aSkip.first.issuer); });
}

QuotaRoute
QuotaRouter::routeFor(const std::string& aTenant, bool aIsRelayed, Instant aNow)
{
  const auto& issuers = issuersOf(aTenant);
  const auto own = std::find(issuers.begin(), issuers.end(), mOwnVm);
  const bool isIssuer = aIsRelayed || issuers.empty() || own != issuers.end();
  for (auto it = issuers.begin(); it != own; ++it) {
    QuotaRoute route{ QuotaSource::Issuer, *it, isIssuer };
    if (!isSkipped(route, aNow)) {
      return route;
    }
  }
  return { isIssuer ? QuotaSource::Own : QuotaSource::Alone };
}

void
QuotaRouter::recordLost(const QuotaRoute& aRoute, Instant aNow)
{
  auto& skip = mSkips[aRoute];
  ++skip.losses;
  if (aNow < skip.until || (aRoute.isRelayed && skip.losses < kRelayLosses)) {
    return;
  }
  skip.time = aRoute.isRelayed
                ? kRelaySkipTime
                : std::clamp<Duration>(2 * skip.time, kSkipTime, kMaxSkipTime);
  skip.until = aNow + skip.time;
}

bool
QuotaRouter::isSkipped(const QuotaRoute& aRoute, Instant aNow) const
{
  const auto it = mSkips.find(aRoute);
  return it != mSkips.end() && aNow < it->second.until;
}

const std::vector<std::string>&
QuotaRouter::issuersOf(const std::string& aTenant)
{
  const auto [it, isNew] = mIssuersOfTenants.try_emplace(aTenant);
  if (isNew) {
    for (auto& issuer : mIssuers.issuersOf(aTenant)) {
      it->second.push_back(std::move(issuer.name));
    }
  }
  return it->second;
}

} // namespace masticwall
