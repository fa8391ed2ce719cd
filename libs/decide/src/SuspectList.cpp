#include <decide/SuspectList.h>

namespace masticwall {

namespace {

/** A request is blocked at this number of crashes, from all reporters together. */
constexpr int kBlockingCrashes = 2;
constexpr std::size_t kMaxEntries = 10'000;

/** Crashes no longer count so long after the last one. */
constexpr Duration kRetention = std::chrono::minutes(30);

} // namespace

SuspectCount
SuspectList::recordCrash(const Digest& aRequest,
                         const std::string& aReporter,
                         Instant aNow)
{
  auto& entry = findOrCreate(aRequest, aNow);
  const bool wasOpen = entry.openCrashes() > 0;
  entry.lastCrashAt = aNow;
  auto& counts = entry.byReporter[aReporter];
  ++counts.crashes;
  updateOpen(entry, wasOpen);
  return { aRequest, aReporter, counts.crashes, counts.cleared };
}

bool
SuspectList::merge(const SuspectCount& aCount, Instant aNow)
{
  auto& entry = findOrCreate(aCount.request, aNow);
  const bool wasOpen = entry.openCrashes() > 0;
  auto& known = entry.byReporter[aCount.reporter];
  const bool isNewCrash = aCount.crashes > known.crashes;
  const bool isNewClearing = aCount.cleared > known.cleared;
  known.crashes = std::max(known.crashes, aCount.crashes);
  known.cleared = std::max(known.cleared, aCount.cleared);
  if (isNewCrash) {
    entry.lastCrashAt = aNow;
  }
  updateOpen(entry, wasOpen);
  return isNewCrash || isNewClearing;
}

std::vector<SuspectCount>
SuspectList::recordSuccess(const Digest& aRequest, Instant aNow)
{
  std::vector<SuspectCount> changed;
  const auto it = mEntries.find(aRequest);
  if (it == mEntries.end() || it->second.openCrashes() == 0) {
    return changed;
  }
  const bool wasBlocked = isBlocked(aRequest, aNow);
  clear(it->second);
  if (wasBlocked) {
    for (const auto& [reporter, counts] : it->second.byReporter) {
      changed.push_back({ aRequest, reporter, counts.crashes, counts.cleared });
    }
  }
  return changed;
}

bool
SuspectList::isBlocked(const Digest& aRequest, Instant aNow) const
{
  const auto it = mEntries.find(aRequest);
  return it != mEntries.end() && aNow - it->second.lastCrashAt < kRetention &&
         it->second.openCrashes() >= kBlockingCrashes;
}

std::vector<SuspectCount>
SuspectList::openCounts(Instant aNow) const
{
  std::vector<SuspectCount> open;
  for (const auto& [request, entry] : mEntries) {
    if (entry.openCrashes() == 0 || aNow - entry.lastCrashAt >= kRetention) {
      continue;
    }
    for (const auto& [reporter, counts] : entry.byReporter) {
      open.push_back({ request, reporter, counts.crashes, counts.cleared });
    }
  }
  return open;
}

SuspectList::Entry&
SuspectList::findOrCreate(const Digest& aRequest, Instant aNow)
{
  clearExpired(aNow);
  const auto [it, isNew] = mEntries.try_emplace(aRequest);
  if (isNew) {
    mInsertionOrder.push_back(aRequest);
  }
  if (mInsertionOrder.size() > kMaxEntries) {
    const auto evicted = mEntries.find(mInsertionOrder.front());
    clear(evicted->second);
    mEntries.erase(evicted);
    mInsertionOrder.pop_front();
  }
  return mEntries.at(aRequest);
}

void
SuspectList::clear(Entry& aEntry)
{
  const bool wasOpen = aEntry.openCrashes() > 0;
  // Kept, not erased: a late message with the same counts must not block it again.
  for (auto& [reporter, counts] : aEntry.byReporter) {
    counts.cleared = counts.crashes;
  }
  aEntry.nextTrialAt = Instant{};
  aEntry.trialPeriods = 0;
  updateOpen(aEntry, wasOpen);
}

void
SuspectList::updateOpen(const Entry& aEntry, bool aWasOpen)
{
  const bool isOpen = aEntry.openCrashes() > 0;
  mOpenEntries += isOpen && !aWasOpen ? 1 : 0;
  mOpenEntries -= !isOpen && aWasOpen ? 1 : 0;
}

void
SuspectList::clearExpired(Instant aNow)
{
  if (isEmpty()) {
    return;
  }
  for (auto& [request, entry] : mEntries) {
    if (aNow - entry.lastCrashAt >= kRetention) {
      clear(entry);
    }
  }
}

int
SuspectList::Entry::openCrashes() const
{
  int n = 0;
  for (const auto& [reporter, counts] : byReporter) {
    n += std::max(0, counts.crashes - counts.cleared);
  }
  return n;
}

} // namespace masticwall
