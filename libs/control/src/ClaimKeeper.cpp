#include "ClaimKeeper.h"
#include <service/StreamNames.h>
#include <telemetry/EventLog.h>

namespace masticwall {

namespace {

constexpr int kMostAppendsInFlight = 4;
constexpr std::size_t kMostInRecord = 500;
constexpr Duration kAppendTimeout = std::chrono::seconds(2);
constexpr Duration kRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kCleaningPeriod = std::chrono::seconds(1);

/** A claim that could not be appended for so long is dropped; its entry has given up. */
constexpr Duration kPendingLimit = std::chrono::seconds(60);

} // namespace

ClaimKeeper::ClaimKeeper(ControlTables& aTables)
  : mTables(aTables)
  , mLog(QUrl(QString::fromStdString(aTables.settings.logUrl)))
  , mReader(mTimers,
            mLog,
            streams::kClaims,
            { [this](const LogRecord& aRecord) { onRecord(aRecord); },
              [this] { onHead(); },
              [this] { onGap(); },
              [](bool) {} })
{
  mCleaning = mTimers.scheduleEvery(kCleaningPeriod, [this] { dropOld(); });
  mReader.start();
}

void
ClaimKeeper::claim(const Claim& aClaim, Verdict aDone)
{
  if (const auto verdict = mTables.claims.verdictOf(aClaim.id)) {
    aDone(*verdict);
    return;
  }
  const auto [it, isNew] = mPending.try_emplace(aClaim.id);
  auto& pending = it->second;
  pending.waiters.push_back(std::move(aDone));
  if (isNew) {
    pending.claim = aClaim;
    pending.since = mTimers.now();
    mToAppend.push_back(aClaim.id);
  }
  appendNext();
}

void
ClaimKeeper::release(const ClaimId& aId)
{
  const auto it = mPending.find(aId);
  if (it == mPending.end()) {
    mToRelease.push_back(aId);
    appendNext();
    return;
  }
  if (!it->second.wasAppended) {
    mPending.erase(it);
    return;
  }
  // Its append may still take effect: released once its verdict is read.
  it->second.isReleased = true;
}

void
ClaimKeeper::onRecord(const LogRecord& aRecord)
{
  const auto record = decodeClaimRecord(aRecord.data);
  if (record.has_error()) {
    logEvent(LogEvent::MessageBad,
             { { "offset", aRecord.offset }, { "error", record.error().message() } });
    return;
  }
  const auto verdicts =
    mTables.claims.apply(record.value().claims, record.value().releases);
  for (const auto& it : verdicts) {
    give(it);
  }
}

void
ClaimKeeper::onHead()
{
  if (mTables.areClaimsReady || mTimers.now() < mUnreadyUntil) {
    return;
  }
  mTables.areClaimsReady = true;
  logEvent(LogEvent::ClaimsReady, { { "claims", mTables.claims.size() } });
  appendNext();
}

void
ClaimKeeper::onGap()
{
  // Claims that nobody here has read may hold keys until the window has passed.
  mTables.areClaimsReady = false;
  mUnreadyUntil =
    mTimers.now() + std::chrono::milliseconds(mTables.settings.common.orderWindowMs);
}

void
ClaimKeeper::give(const ClaimVerdict& aVerdict)
{
  const auto it = mPending.find(aVerdict.claim);
  if (it == mPending.end()) {
    return;
  }
  const auto pending = std::move(it->second);
  mPending.erase(it);
  if (pending.isReleased) {
    mToRelease.push_back(aVerdict.claim);
    appendNext();
    return;
  }
  for (const auto& done : pending.waiters) {
    done(aVerdict);
  }
}

void
ClaimKeeper::appendNext()
{
  noteUnsettled();
  while (mAppendsInFlight < kMostAppendsInFlight) {
    const auto record = takeBatch();
    if (record.claims.empty() && record.releases.empty()) {
      return;
    }
    ++mAppendsInFlight;
    ++mTables.appends;
    mLog.append(streams::kClaims,
                encode(record),
                kAppendTimeout,
                [this, record](const Result<std::uint64_t>& aResult) {
                  onAppended(record, aResult);
                });
  }
}

ClaimRecord
ClaimKeeper::takeBatch()
{
  ClaimRecord record;
  while (!mToRelease.empty() && record.releases.size() < kMostInRecord) {
    record.releases.push_back(mToRelease.front());
    mToRelease.pop_front();
  }
  // Without the whole window, a claim here could win a key that is held elsewhere.
  while (mTables.areClaimsReady && !mToAppend.empty() &&
         record.claims.size() < kMostInRecord) {
    const auto it = mPending.find(mToAppend.front());
    mToAppend.pop_front();
    if (it != mPending.end()) {
      it->second.isAppending = true;
      it->second.wasAppended = true;
      record.claims.push_back(it->second.claim);
    }
  }
  return record;
}

void
ClaimKeeper::onAppended(const ClaimRecord& aRecord, const Result<std::uint64_t>& aResult)
{
  --mAppendsInFlight;
  if (aResult.has_value()) {
    // The verdicts come with the replay.
    appendNext();
    return;
  }
  for (const auto& it : aRecord.claims) {
    if (mPending.contains(it.id)) {
      mToAppend.push_back(it.id);
    }
  }
  mToRelease.insert(mToRelease.end(), aRecord.releases.begin(), aRecord.releases.end());
  mRetry = mTimers.scheduleAfter(kRetryDelay, [this] { appendNext(); });
}

void
ClaimKeeper::dropOld()
{
  const auto before = mTimers.now() - kPendingLimit;
  std::erase_if(mPending, [before](const auto& aEntry) {
    return aEntry.second.since < before && !aEntry.second.wasAppended;
  });
  noteUnsettled();
}

void
ClaimKeeper::noteUnsettled()
{
  mTables.unsettledClaims =
    mPending.size() + mToRelease.size() + static_cast<std::size_t>(mAppendsInFlight);
}

} // namespace masticwall
