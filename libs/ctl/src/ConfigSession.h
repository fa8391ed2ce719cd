#pragma once

#include "CtlSettings.h"
#include "HistoryEntry.h"
#include <core/Result.h>
#include <decide/ConfigReplay.h>
#include <service/LogClient.h>
#include <settings/SectionsAreValid.h>
#include <vector>

namespace masticwall {

/** The configuration as the log has it, and changes to it. Blocks while it waits. */
class ConfigSession
{
public:
  explicit ConfigSession(const CtlSettings& aSettings);

  /** Replays the log up to its head. */
  Result<void> load();

  /**
   * Publishes the sections that differ from what is known; returns how many. Fails with
   * a CtlError if a record is void.
   */
  Result<std::size_t> publish(const std::string& aPreset,
                              const PresetSections& aSections);

  /** Puts a preset in force; returns the version that does. */
  Result<std::uint64_t> switchTo(const std::string& aPreset);

  const ConfigState& state() const { return mReplay.state(); }
  const std::vector<HistoryEntry>& history() const { return mHistory; }

private:
  Result<void> readPage(Duration aWait);
  Result<std::uint64_t> commit(ConfigRecord aRecord);
  const HistoryEntry* findRecord(const std::string& aId) const;

  CtlSettings mSettings;
  LogClient mLog;
  ConfigReplay<SectionsAreValid> mReplay{ SectionsAreValid{} };
  std::vector<HistoryEntry> mHistory;
  std::uint64_t mNext = 0;
  bool mIsAtHead = false;
};

} // namespace masticwall
