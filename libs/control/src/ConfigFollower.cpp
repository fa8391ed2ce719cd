#include "ConfigFollower.h"
#include <QUuid>
#include <algorithm>
#include <core/WallClock.h>
#include <decide/RendezvousHash.h>
#include <service/StreamNames.h>
#include <telemetry/EventLog.h>

namespace masticwall {

namespace {

constexpr Duration kAppendTimeout = std::chrono::seconds(2);

/** Records are repeated when a quarter of the log's retention is left. */
constexpr std::int64_t kRefreshNumerator = 3;
constexpr std::int64_t kRefreshDenominator = 4;

/** How often the ages are checked, as a part of the retention. */
constexpr std::int64_t kChecksInRetention = 32;

/** The key under which the age of the switch itself is kept. */
const SectionKey kSwitchKey{};

} // namespace

ConfigFollower::ConfigFollower(ControlTables& aTables, std::function<void()> aOnChange)
  : mTables(aTables)
  , mOnChange(std::move(aOnChange))
  , mLog(QUrl(QString::fromStdString(aTables.settings.logUrl)))
  , mReader(mTimers,
            mLog,
            streams::kConfig,
            { [this](const LogRecord& aRecord) { onRecord(aRecord); },
              [this] { onHead(); },
              [] {},
              [this](bool aIsReachable) { mTables.isLogReachable = aIsReachable; } })
{
  const std::chrono::milliseconds period(aTables.settings.logRetentionMs /
                                         kChecksInRetention);
  mRefresh = mTimers.scheduleEvery(period, [this] { refreshOld(); });
  mReader.start();
}

void
ConfigFollower::merge(const ConfigState& aState)
{
  if (aState.version <= mTables.config.version()) {
    return;
  }
  mTables.config.merge(aState);
  logEvent(LogEvent::ConfigFromPeer, { { "version", aState.version } });
  putPreset();
}

void
ConfigFollower::onRecord(const LogRecord& aRecord)
{
  const auto record = decodeConfigRecord(aRecord.data);
  if (record.has_error()) {
    logEvent(LogEvent::ConfigRecordBad,
             { { "offset", aRecord.offset }, { "error", record.error().message() } });
    return;
  }
  const auto verdict = mTables.config.apply(record.value(), aRecord.offset);
  if (verdict == ConfigVerdict::Accepted || verdict == ConfigVerdict::Known) {
    noteWritten(record.value());
  }
  if (verdict == ConfigVerdict::Accepted) {
    putPreset();
  } else if (verdict != ConfigVerdict::Known) {
    logEvent(LogEvent::ConfigRecordVoid,
             { { "offset", aRecord.offset },
               { "id", record.value().id },
               { "verdict", nameOf(verdict) } });
  }
}

void
ConfigFollower::onHead()
{
  if (!mTables.isConfigRead.exchange(true)) {
    mOnChange();
  }
}

void
ConfigFollower::putPreset()
{
  const auto state = mTables.config.state();
  if (!state.activePreset.empty()) {
    auto parse = mAssembler.assemble(state.sectionsOf(state.activePreset));
    auto preset = std::make_shared<Preset>(std::move(parse.preset));
    preset->name = state.activePreset;
    preset->version = state.activeVersion();
    if (parse.isValid() && mTables.presets.put(preset)) {
      logEvent(LogEvent::PresetInForce,
               { { "preset", preset->name }, { "version", preset->version } });
    }
  }
  mOnChange();
}

void
ConfigFollower::noteWritten(const ConfigRecord& aRecord)
{
  const bool isSwitch = aRecord.operation == ConfigOperation::Switch ||
                        aRecord.operation == ConfigOperation::SwitchSnapshot;
  auto& known = mWrittenAtMs[isSwitch ? kSwitchKey : aRecord.key];
  known = std::max(known, aRecord.writtenAtMs);
}

void
ConfigFollower::refreshOld()
{
  if (!mTables.isConfigRead) {
    return;
  }
  const auto state = mTables.config.state();
  const auto oldest = wallClockMs() - mTables.settings.logRetentionMs *
                                        kRefreshNumerator / kRefreshDenominator;
  for (const auto& [key, section] : state.sections) {
    if (mWrittenAtMs[key] < oldest && isMine(key)) {
      ConfigRecord record;
      record.operation = ConfigOperation::SectionSnapshot;
      record.key = key;
      record.version = section.version;
      record.text = section.text;
      refresh(record);
    }
  }
  if (!state.activePreset.empty() && mWrittenAtMs[kSwitchKey] < oldest &&
      isMine(kSwitchKey)) {
    ConfigRecord record;
    record.operation = ConfigOperation::SwitchSnapshot;
    record.key = { state.activePreset, {} };
    record.version = state.switchVersion;
    refresh(record);
  }
}

void
ConfigFollower::refresh(const ConfigRecord& aSnapshot)
{
  auto record = aSnapshot;
  record.id = QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString();
  record.writtenAtMs = wallClockMs();
  ++mTables.appends;
  // A lost one is made again at the next check, and a second copy changes nothing.
  mLog.append(streams::kConfig,
              encode(record),
              kAppendTimeout,
              [](const Result<std::uint64_t>&) {});
}

bool
ConfigFollower::isMine(const SectionKey& aKey) const
{
  const auto list = mTables.membership.current();
  std::vector<std::string_view> names{ mTables.settings.common.vm };
  for (const auto& it : list) {
    if (it.role == VmRole::Masticwall && !it.leaving) {
      names.push_back(it.name);
    }
  }
  const auto owner = rendezvousOwner(aKey.preset + '/' + aKey.section, names);
  return names[owner] == mTables.settings.common.vm;
}

} // namespace masticwall
