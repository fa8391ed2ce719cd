#include <decide/SuspectList.h>

namespace masticwall {

namespace {

constexpr int kMostDeaths = 2;
constexpr std::size_t kMostEntries = 10'000;
constexpr Duration kRemembered = std::chrono::minutes(30);

} // namespace

int
SuspectList::noteDeath(const Digest& aRequest, const std::string& aReporter, Instant aNow)
{
  auto& entry = entryOf(aRequest, aNow);
  entry.last = aNow;
  return ++entry.deaths[aReporter];
}

bool
SuspectList::merge(const Digest& aRequest,
                   const std::string& aReporter,
                   int aDeaths,
                   Instant aNow)
{
  auto& entry = entryOf(aRequest, aNow);
  auto& known = entry.deaths[aReporter];
  if (aDeaths <= known) {
    return false;
  }
  known = aDeaths;
  entry.last = aNow;
  return true;
}

bool
SuspectList::isStopped(const Digest& aRequest, Instant aNow) const
{
  const auto it = mEntries.find(aRequest);
  if (it == mEntries.end() || aNow - it->second.last >= kRemembered) {
    return false;
  }
  int n = 0;
  for (const auto& [reporter, deaths] : it->second.deaths) {
    n += deaths;
  }
  return n >= kMostDeaths;
}

SuspectList::Entry&
SuspectList::entryOf(const Digest& aRequest, Instant aNow)
{
  const auto [it, isNew] = mEntries.try_emplace(aRequest);
  if (!isNew && aNow - it->second.last >= kRemembered) {
    it->second = {};
  }
  if (isNew) {
    mAges.push_back(aRequest);
  }
  if (mAges.size() > kMostEntries) {
    mEntries.erase(mAges.front());
    mAges.pop_front();
  }
  return mEntries.at(aRequest);
}

} // namespace masticwall
