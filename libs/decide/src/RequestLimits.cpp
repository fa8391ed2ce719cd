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
  if (mEntries.empty() && !aPerSecond.has_value()) {
    return LimitChange::None;
  }
  const Key key{ aUpstream.name, aUpstream.instance };
  const auto it = mEntries.find(key);
  if (it == mEntries.end()) {
    if (!aPerSecond.has_value()) {
      return LimitChange::None;
    }
    mEntries[key] = { { *aPerSecond, aNow }, *aPerSecond, aNow, aNow };
    return LimitChange::Begun;
  }
  auto& entry = it->second;
  auto& limit = entry.limit;
  const bool isLower = aPerSecond.has_value() && *aPerSecond < limit.perSecond;
  const bool isSame = aPerSecond == limit.perSecond;
  if (!isLower && !isSame && aSentAt < entry.changedAt) {
    return LimitChange::None;
  }
  if (!aPerSecond.has_value()) {
    mEntries.erase(it);
    return LimitChange::Ended;
  }
  limit.statedAt = aNow;
  if (isSame) {
    return LimitChange::None;
  }
  limit.perSecond = *aPerSecond;
  entry.changedAt = aNow;
  const auto [lower, higher] = std::minmax(limit.perSecond, entry.reportedPerSecond);
  if (higher < lower * kReportedFactor) {
    return LimitChange::None;
  }
  entry.reportedPerSecond = limit.perSecond;
  return LimitChange::Changed;
}

std::optional<RequestLimit>
RequestLimits::find(const UpstreamAddress& aUpstream) const
{
  if (mEntries.empty()) {
    return std::nullopt;
  }
  const auto it = mEntries.find({ aUpstream.name, aUpstream.instance });
  return it == mEntries.end() ? std::nullopt : std::optional(it->second.limit);
}

void
RequestLimits::onListed(const std::vector<UpstreamAddress>& aListed, Instant aNow)
{
  if (mEntries.empty()) {
    return;
  }
  for (const auto& it : aListed) {
    const auto entry = mEntries.find({ it.name, it.instance });
    if (entry != mEntries.end()) {
      entry->second.lastListedAt = aNow;
    }
  }
  std::erase_if(mEntries, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.lastListedAt > kForgetAfter;
  });
}

} // namespace masticwall
