#include "ConfigSession.h"
#include "Await.h"
#include "CtlError.h"
#include <QUrl>
#include <QUuid>
#include <algorithm>
#include <core/WallClock.h>
#include <messages/ConfigRecordMessage.h>
#include <service/StreamNames.h>

namespace masticwall {

namespace {

constexpr Duration kRequestTimeout = std::chrono::seconds(2);

/** How long the log service waits for a new record before it responds to a read. */
constexpr Duration kMaxRecordWait = std::chrono::milliseconds(200);

Instant
steadyNow()
{
  return std::chrono::steady_clock::now();
}

} // namespace

ConfigSession::ConfigSession(const CtlSettings& aSettings)
  : mSettings(aSettings)
  , mLog(QUrl(QString::fromStdString(aSettings.logUrl)))
{
}

Result<void>
ConfigSession::load()
{
  const auto deadline = steadyNow() + mSettings.timeout();
  while (!mIsAtHead) {
    const auto read = readPage(Duration{ 0 });
    if (read.has_error() && steadyNow() >= deadline) {
      return CtlError::LogUnreachable;
    }
  }
  return success();
}

Result<std::size_t>
ConfigSession::publish(const std::string& aPreset, const PresetSections& aSections)
{
  std::size_t n = 0;
  for (const auto& [section, text] : aSections) {
    const SectionKey key{ aPreset, section };
    const auto known = state().sections.find(key);
    if (known != state().sections.end() && known->second.text == text) {
      continue;
    }
    ConfigRecord record;
    record.operation = ConfigOperation::Publish;
    record.key = key;
    record.base = known == state().sections.end() ? 0 : known->second.version;
    record.text = text;
    BOOST_OUTCOME_TRYV(commit(std::move(record)));
    ++n;
  }
  return n;
}

Result<std::uint64_t>
ConfigSession::switchTo(const std::string& aPreset)
{
  ConfigRecord record;
  record.operation = ConfigOperation::Switch;
  record.key.preset = aPreset;
  record.base = state().switchVersion;
  return commit(std::move(record));
}

Result<std::uint64_t>
ConfigSession::commit(ConfigRecord aRecord)
{
  aRecord.id = QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString();
  aRecord.writtenAtMs = wallClockMs();
  const auto bytes = encode(aRecord);
  const auto deadline = steadyNow() + mSettings.timeout();
  while (steadyNow() < deadline) {
    // If the response is lost, the record is appended again with the same id: of the
    // copies, only the first counts.
    const auto appended = await<Result<std::uint64_t>>(
      [&](auto aDone) { mLog.append(streams::kConfig, bytes, kRequestTimeout, aDone); });
    const auto read = readPage(appended.has_value() ? kMaxRecordWait : Duration{ 0 });
    const auto* const entry = findRecord(aRecord.id);
    if (entry == nullptr || read.has_error()) {
      continue;
    }
    if (entry->verdict == ConfigVerdict::Accepted) {
      return entry->version();
    }
    return entry->verdict == ConfigVerdict::Invalid ? CtlError::RecordInvalid
                                                    : CtlError::RecordConflict;
  }
  return CtlError::LogUnreachable;
}

Result<void>
ConfigSession::readPage(Duration aWait)
{
  const auto page = await<Result<LogPage>>([&](auto aDone) {
    mLog.read(streams::kConfig, mNextOffset, aWait, kRequestTimeout, aDone);
  });
  if (page.has_error()) {
    return page.error();
  }
  mNextOffset = std::max(mNextOffset, page.value().first);
  for (const auto& it : page.value().records) {
    mNextOffset = it.offset + 1;
    const auto record = decodeConfigRecord(it.data);
    if (record.has_value()) {
      const auto verdict = mReplay.apply(record.value(), it.offset);
      mHistory.push_back({ it.offset, record.value(), verdict });
    }
  }
  mIsAtHead = mNextOffset >= page.value().head;
  return success();
}

const HistoryEntry*
ConfigSession::findRecord(const std::string& aId) const
{
  const auto it =
    std::find_if(mHistory.begin(), mHistory.end(), [&](const HistoryEntry& aEntry) {
      return aEntry.record.id == aId;
    });
  return it == mHistory.end() ? nullptr : &*it;
}

} // namespace masticwall
