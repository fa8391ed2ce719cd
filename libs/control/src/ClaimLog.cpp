#include "ClaimLog.h"
#include <service/StreamNames.h>
#include <telemetry/EventLog.h>

namespace masticwall {

namespace {

constexpr int kMaxAppendsInFlight = 4;
constexpr std::size_t kMaxBatchSize = 500; ///< of claims, and of releases, in a record
constexpr Duration kAppendTimeout = std::chrono::seconds(2);
constexpr Duration kRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kExpiryCheckPeriod = std::chrono::seconds(1);

/**
 * A claim for which no append was sent within this time is dropped: the entry process
 * that made it has given up by then.
 */
constexpr Duration kMaxUnsentAge = std::chrono::seconds(60);

} // namespace

ClaimLog::ClaimLog(ControlTables& aTables)
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
  mExpiryTimer = mTimers.scheduleEvery(kExpiryCheckPeriod, [this] { dropExpired(); });
  mReader.start();
}

void
ClaimLog::claim(const Claim& aClaim, VerdictCallback aDone)
{
  if (const auto verdict = mTables.claims.verdictOf(aClaim.id)) {
    aDone(*verdict);
    return;
  }
  const auto [it, isNew] = mPending.try_emplace(aClaim.id);
  auto& pending = it->second;
  pending.callbacks.push_back(std::move(aDone));
  if (isNew) {
    pending.claim = aClaim;
    pending.createdAt = mTimers.now();
    mToAppend.push_back(aClaim.id);
  }
  appendNext();
}

void
ClaimLog::release(const ClaimId& aId)
{
  const auto it = mPending.find(aId);
  if (it == mPending.end()) {
    mToRelease.push_back(aId);
    appendNext();
    return;
  }
  if (!it->second.wasAppendSent) {
    mPending.erase(it);
    return;
  }
  // An append may still take effect, so the release follows once the verdict is known.
  it->second.isReleased = true;
}

void
ClaimLog::onRecord(const LogRecord& aRecord)
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
    deliver(it);
  }
}

void
ClaimLog::onHead()
{
  if (mTables.areClaimsReady || mTimers.now() < mMissedClaimsExpireAt) {
    return;
  }
  mTables.areClaimsReady = true;
  logEvent(LogEvent::ClaimsReady, { { "claims", mTables.claims.size() } });
  appendNext();
}

void
ClaimLog::onGap()
{
  // The missed records may contain claims that were granted keys. The keys are free again
  // after the order window.
  mTables.areClaimsReady = false;
  mMissedClaimsExpireAt =
    mTimers.now() + std::chrono::milliseconds(mTables.settings.common.orderWindowMs);
}

void
ClaimLog::deliver(const ClaimVerdict& aVerdict)
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
  for (const auto& done : pending.callbacks) {
    done(aVerdict);
  }
}

void
ClaimLog::appendNext()
{
  updateUnsettledCount();
  while (mAppendsInFlight < kMaxAppendsInFlight) {
    const auto record = takeNextBatch();
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
ClaimLog::takeNextBatch()
{
  ClaimRecord record;
  while (!mToRelease.empty() && record.releases.size() < kMaxBatchSize) {
    record.releases.push_back(mToRelease.front());
    mToRelease.pop_front();
  }
  // Until all claims of the order window are replayed, a new claim could be granted a key
  // that another claim already has.
  while (mTables.areClaimsReady && !mToAppend.empty() &&
         record.claims.size() < kMaxBatchSize) {
    const auto it = mPending.find(mToAppend.front());
    mToAppend.pop_front();
    if (it != mPending.end()) {
      it->second.isAppending = true;
      it->second.wasAppendSent = true;
      record.claims.push_back(it->second.claim);
    }
  }
  return record;
}

void
ClaimLog::onAppended(const ClaimRecord& aRecord, const Result<std::uint64_t>& aResult)
{
  --mAppendsInFlight;
  if (aResult.has_value()) {
    // The verdicts are known once the record is replayed.
    appendNext();
    return;
  }
  for (const auto& it : aRecord.claims) {
    if (mPending.contains(it.id)) {
      mToAppend.push_back(it.id);
    }
  }
  mToRelease.insert(mToRelease.end(), aRecord.releases.begin(), aRecord.releases.end());
  mRetryTimer = mTimers.scheduleAfter(kRetryDelay, [this] { appendNext(); });
}

void
ClaimLog::dropExpired()
{
  const auto oldestKept = mTimers.now() - kMaxUnsentAge;
  std::erase_if(mPending, [oldestKept](const auto& aEntry) {
    return aEntry.second.createdAt < oldestKept && !aEntry.second.wasAppendSent;
  });
  updateUnsettledCount();
}

void
ClaimLog::updateUnsettledCount()
{
  mTables.unsettledClaims =
    mPending.size() + mToRelease.size() + static_cast<std::size_t>(mAppendsInFlight);
}

} // namespace masticwall
