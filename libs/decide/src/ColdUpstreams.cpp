#include <algorithm>
#include <decide/ColdUpstreams.h>
#include <set>

namespace masticwall {

namespace {

/** The list may be this much older than what responses state. */
constexpr Duration kMaxListLag = std::chrono::seconds(5);

/** How long the list is believed if the time of a warm-up is not known. */
constexpr Duration kMaxWarmUpTime = std::chrono::minutes(1);

/** So many responses are believed rather than the list; one may be a late copy. */
constexpr int kMinStatements = 2;

} // namespace

Instant
ColdUpstreams::Entry::coldUntil() const
{
  const bool isListBelieved = isListed && statements < kMinStatements;
  return isListBelieved ? std::max(listedUntil, statedUntil) : statedUntil;
}

void
ColdUpstreams::configure(const WarmUpPolicy& aPolicy)
{
  mPolicy = aPolicy;
  if (!mPolicy.isLimiting()) {
    mEntries.clear();
  }
}

std::vector<UpstreamAddress>
ColdUpstreams::onListed(const std::vector<UpstreamAddress>& aListed, Instant aNow)
{
  std::vector<UpstreamAddress> begun;
  if (!mPolicy.isLimiting()) {
    return begun;
  }
  std::set<Key> listed;
  for (const auto& it : aListed) {
    if (!it.isWarmingUp) {
      continue;
    }
    listed.emplace(it.name, it.instance);
    auto& entry = mEntries[{ it.name, it.instance }];
    if (entry.isListed) {
      continue;
    }
    const bool isStated = entry.statedUntil > aNow;
    if (!isStated) {
      entry.statements = 0;
      begun.push_back(it);
    }
    entry.isListed = true;
    entry.listedUntil = aNow + maxListedTime();
  }
  for (auto& [key, entry] : mEntries) {
    entry.isListed = entry.isListed && listed.contains(key);
  }
  std::erase_if(mEntries, [aNow](const auto& aEntry) {
    return !aEntry.second.isListed && aEntry.second.statedUntil <= aNow;
  });
  return begun;
}

LimitChange
ColdUpstreams::record(const UpstreamAddress& aUpstream, Duration aLeft, Instant aNow)
{
  if (!mPolicy.isLimiting() || aLeft <= Duration{ 0 }) {
    return LimitChange::None;
  }
  auto& entry = mEntries[{ aUpstream.name, aUpstream.instance }];
  const bool wasCold = entry.coldUntil() > aNow;
  entry.statements =
    entry.statedUntil > aNow || entry.isListed ? entry.statements + 1 : 1;
  entry.statedUntil = std::max(entry.statedUntil, aNow + aLeft);
  return wasCold ? LimitChange::None : LimitChange::Begun;
}

Instant
ColdUpstreams::coldUntil(const UpstreamAddress& aUpstream) const
{
  if (mEntries.empty()) {
    return {};
  }
  const auto it = mEntries.find({ aUpstream.name, aUpstream.instance });
  return it == mEntries.end() ? Instant{} : it->second.coldUntil();
}

Duration
ColdUpstreams::maxListedTime() const
{
  const bool isKnown = mPolicy.time > Duration{ 0 };
  return (isKnown ? mPolicy.time : kMaxWarmUpTime) + kMaxListLag;
}

} // namespace masticwall
