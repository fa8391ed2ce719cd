#include <decide/SuspectList.h>

namespace masticwall {

namespace {

/** A request is blocked at this number of crashes, from all reporters together. */
constexpr int kBlockingCrashes = 2;
constexpr std::size_t kMaxEntries = 10'000;

/** An entry expires this long after its last counted crash. */
constexpr Duration kRetention = std::chrono::minutes(30);

} // namespace

int
SuspectList::recordCrash(const Digest& aRequest,
                         const std::string& aReporter,
                         Instant aNow)
{
  auto& entry = findOrCreate(aRequest, aNow);
  entry.lastCrashAt = aNow;
  return ++entry.crashes[aReporter];
}

bool
SuspectList::merge(const Digest& aRequest,
                   const std::string& aReporter,
                   int aCrashes,
                   Instant aNow)
{
  auto& entry = findOrCreate(aRequest, aNow);
  auto& known = entry.crashes[aReporter];
  if (aCrashes <= known) {
    return false;
  }
  known = aCrashes;
  entry.lastCrashAt = aNow;
  return true;
}

bool
SuspectList::isBlocked(const Digest& aRequest, Instant aNow) const
{
  const auto it = mEntries.find(aRequest);
  if (it == mEntries.end() || aNow - it->second.lastCrashAt >= kRetention) {
    return false;
  }
  int n = 0;
  for (const auto& [reporter, crashes] : it->second.crashes) {
    n += crashes;
  }
  return n >= kBlockingCrashes;
}

SuspectList::Entry&
SuspectList::findOrCreate(const Digest& aRequest, Instant aNow)
{
  const auto [it, isNew] = mEntries.try_emplace(aRequest);
  if (!isNew && aNow - it->second.lastCrashAt >= kRetention) {
    it->second = {};
  }
  if (isNew) {
    mInsertionOrder.push_back(aRequest);
  }
  if (mInsertionOrder.size() > kMaxEntries) {
    mEntries.erase(mInsertionOrder.front());
    mInsertionOrder.pop_front();
  }
  return mEntries.at(aRequest);
}

} // namespace masticwall
