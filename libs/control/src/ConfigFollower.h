#pragma once

#include "ControlTables.h"
#include "StreamReader.h"
#include <map>
#include <messages/ConfigRecordMessage.h>
#include <settings/PresetAssembler.h>

namespace masticwall {

/**
 * Replays the configuration stream into the tables, and appends snapshots of records to
 * it before they expire. Lives on one thread, which must run a Qt event loop.
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
  void recordWriteTime(const ConfigRecord& aRecord);
  void refreshExpiring();
  void appendSnapshot(const ConfigRecord& aSnapshot);
  /** Whether this VM, of all running masticwall VMs, appends the snapshots of `aKey`. */
  bool isSnapshotOwner(const SectionKey& aKey) const;
  void updatePreset();

  ControlTables& mTables;
  std::function<void()> mOnChange;
  TimerService mTimers;
  LogClient mLog;
  StreamReader mReader;
  std::map<SectionKey, std::int64_t> mWrittenAtMs; ///< newest record of each key
  PresetAssembler mAssembler;
  TimerHandle mRefreshTimer;
};

} // namespace masticwall
