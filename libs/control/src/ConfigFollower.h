#pragma once

#include "ControlTables.h"
#include "StreamReader.h"
#include <map>
#include <messages/ConfigRecordMessage.h>
#include <settings/PresetAssembler.h>

namespace masticwall {

/**
 * Replays the configuration stream of the log into the tables and assembles the active
 * preset. Also appends snapshots of the sections and of the last switch to the stream,
 * before the records that set them expire. Lives on one thread, which must run a Qt event
 * loop.
 */
class ConfigFollower
{
public:
  /**
   * `aOnChange` is called, on this thread, after each accepted record or merged state,
   * and when the head of the stream is first reached.
   */
  ConfigFollower(ControlTables& aTables, std::function<void()> aOnChange);

  /**
   * Merges a peer's configuration, for use while the log can't be reached. Ignored unless
   * its version is newer.
   */
  void merge(const ConfigState& aState);

private:
  void onRecord(const LogRecord& aRecord);
  void onHead();
  void updateWriteTime(const ConfigRecord& aRecord);
  void appendDueSnapshots();
  void appendSnapshot(const ConfigRecord& aSnapshot);
  /** Whether this VM, of all running masticwall VMs, appends the snapshots of `aKey`. */
  bool isSnapshotOwner(const SectionKey& aKey) const;
  void updatePreset();

  ControlTables& mTables;
  std::function<void()> mOnChange;
  TimerService mTimers;
  LogClient mLog;
  StreamReader mReader;
  /**
   * Write time (Unix time in milliseconds) of the newest record for each section, and for
   * the switch under kSwitchKey.
   */
  std::map<SectionKey, std::int64_t> mWrittenAtMs;
  PresetAssembler mAssembler;
  TimerHandle mSnapshotTimer;
};

} // namespace masticwall
