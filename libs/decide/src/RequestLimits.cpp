#include <algorithm>
#include <decide/RequestLimits.h>

namespace masticwall {

namespace {

/** Longer than any VM keeps a list that another VM might take over. */
constexpr Duration kForgetAfter = std::chrono::minutes(30);

/** Smaller changes are not reported. */
constexpr double kReportedFactor = 1.5;

} // namespace

LimitChange
RequestLimits::record(const UpstreamAddress& aUpstream,
                      std::optional<double> aPerSecond,
                      Instant aSentAt,
                      Instant aNow)
{
  if (mLimits.empty() && !aPerSecond.has_value()) {
    return LimitChange::None;
  }
  const Key key{ aUpstream.name, aUpstream.instance };
  const auto it = mLimits.find(key);
  if (it == mLimits.end()) {
    if (!aPerSecond.has_value()) {
      return LimitChange::None;
    }
    mLimits[key] = { *aPerSecond, *aPerSecond, aNow, aNow };
    return LimitChange::Begun;
  }
  auto& limit = it->second;
  const bool isLower = aPerSecond.has_value() && *aPerSecond < limit.perSecond;
  if (!isLower && aSentAt < limit.changedAt) {
    return LimitChange::None;
  }
  if (!aPerSecond.has_value()) {
    mLimits.erase(it);
    return LimitChange::Ended;
  }
  if (*aPerSecond == limit.perSecond) {
    return LimitChange::None;
  }
  limit.perSecond = *aPerSecond;
  limit.changedAt = aNow;
  const auto [lower, higher] = std::minmax(limit.perSecond, limit.reportedPerSecond);
  if (higher < lower * kReportedFactor) {
    return LimitChange::None;
  }
  limit.reportedPerSecond = limit.perSecond;
  return LimitChange::Changed;
}

std::optional<double>
RequestLimits::find(const UpstreamAddress& aUpstream) const
{
  if (mLimits.empty()) {
    return std::nullopt;
  }
  const auto it = mLimits.find({ aUpstream.name, aUpstream.instance });
  return it == mLimits.end() ? std::nullopt : std::optional(it->second.perSecond);
}

void
RequestLimits::onListed(const std::vector<UpstreamAddress>& aListed, Instant aNow)
{
  if (mLimits.empty()) {
    return;
  }
  for (const auto& it : aListed) {
    const auto limit = mLimits.find({ it.name, it.instance });
    if (limit != mLimits.end()) {
      limit->second.lastListedAt = aNow;
    }
  }
  std::erase_if(mLimits, [aNow](const auto& aLimit) {
    return aNow - aLimit.second.lastListedAt > kForgetAfter;
  });
}

} // namespace masticwall
