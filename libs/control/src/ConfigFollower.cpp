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

/**
 * A snapshot is appended when a record's age has reached this fraction of the log's
 * retention time.
 */
constexpr std::int64_t kSnapshotAgeNumerator = 3;
constexpr std::int64_t kSnapshotAgeDenominator = 4;

/** How many times in a retention period the ages of the records are checked. */
constexpr std::int64_t kSnapshotChecksPerRetention = 32;

/**
 * Used for the switch, which activates a preset, where a section's key is used for a
 * section. No section has this key, because every section has a name.
 */
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
                                         kSnapshotChecksPerRetention);
  mSnapshotTimer = mTimers.scheduleEvery(period, [this] { appendDueSnapshots(); });
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
  updatePreset();
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
    updateWriteTime(record.value());
  }
  if (verdict == ConfigVerdict::Accepted) {
    updatePreset();
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
ConfigFollower::updatePreset()
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
ConfigFollower::updateWriteTime(const ConfigRecord& aRecord)
{
  const bool isSwitch = aRecord.operation == ConfigOperation::Switch ||
                        aRecord.operation == ConfigOperation::SwitchSnapshot;
  auto& newest = mWrittenAtMs[isSwitch ? kSwitchKey : aRecord.key];
  newest = std::max(newest, aRecord.writtenAtMs);
}

void
ConfigFollower::appendDueSnapshots()
{
  if (!mTables.isConfigRead) {
    return;
  }
  const auto state = mTables.config.state();
  const auto dueBeforeMs = wallClockMs() - mTables.settings.logRetentionMs *
                                             kSnapshotAgeNumerator /
                                             kSnapshotAgeDenominator;
  for (const auto& [key, section] : state.sections) {
    if (mWrittenAtMs[key] < dueBeforeMs && isSnapshotOwner(key)) {
      ConfigRecord record;
      record.operation = ConfigOperation::SectionSnapshot;
      record.key = key;
      record.version = section.version;
      record.text = section.text;
      appendSnapshot(record);
    }
  }
  if (!state.activePreset.empty() && mWrittenAtMs[kSwitchKey] < dueBeforeMs &&
      isSnapshotOwner(kSwitchKey)) {
    ConfigRecord record;
    record.operation = ConfigOperation::SwitchSnapshot;
    record.key = { state.activePreset, {} };
    record.version = state.switchVersion;
    appendSnapshot(record);
  }
}

void
ConfigFollower::appendSnapshot(const ConfigRecord& aSnapshot)
{
  auto record = aSnapshot;
  record.id = QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString();
  record.writtenAtMs = wallClockMs();
  ++mTables.appends;
  // If the append fails, a later check appends another; a second copy has no effect.
  mLog.append(streams::kConfig,
              encode(record),
              kAppendTimeout,
              [](const Result<std::uint64_t>&) {});
}

bool
ConfigFollower::isSnapshotOwner(const SectionKey& aKey) const
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
