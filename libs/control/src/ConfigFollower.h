#pragma once

#include "ControlTables.h"
#include "StreamReader.h"
#include <map>
#include <messages/ConfigRecordMessage.h>
#include <settings/PresetAssembler.h>

namespace masticwall {

/**
 * Replays the configuration stream into the tables, and repeats records on it before
 * they expire. Lives on one thread.
 */
class ConfigFollower
{
public:
  /** `aOnChange` is called, on this thread, after each accepted record. */
  ConfigFollower(ControlTables& aTables, std::function<void()> aOnChange);

  /** Merges a peer's state, as a start while the log can't be reached. */
  void merge(const ConfigState& aState);

private:
  void onRecord(const LogRecord& aRecord);
  void onHead();
  void noteWritten(const ConfigRecord& aRecord);
  void refreshOld();
  void refresh(const ConfigRecord& aSnapshot);
  bool isMine(const SectionKey& aKey) const;
  void putPreset();

  ControlTables& mTables;
  std::function<void()> mOnChange;
  TimerService mTimers;
  LogClient mLog;
  StreamReader mReader;
  std::map<SectionKey, std::int64_t> mWrittenAtMs; ///< newest copy on the log
  PresetAssembler mAssembler;
  TimerHandle mRefresh;
};

} // namespace masticwall
