#pragma once

#include "CtlSettings.h"
#include "HistoryEntry.h"
#include <core/Result.h>
#include <decide/ConfigReplay.h>
#include <service/LogClient.h>
#include <settings/PresetSectionsValidator.h>
#include <vector>

namespace masticwall {

/**
 * Reads the configuration from the log and appends changes to it. Calls block, in a Qt
 * event loop. While the log can't be reached, load() and each appended record are retried
 * until the timeout of the settings. Lives on one thread.
 */
class ConfigSession
{
public:
  explicit ConfigSession(const CtlSettings& aSettings);

  /** Replays the log up to its head. Fails with CtlError::LogUnreachable. */
  Result<void> load();

  /**
   * Publishes the sections that differ from the loaded configuration; returns how many.
   * Fails with a CtlError; sections published before the failure stay published.
   */
  Result<std::size_t> publish(const std::string& aPreset,
                              const PresetSections& aSections);

  /** Activates a preset; returns the switch's version. Fails with a CtlError. */
  Result<std::uint64_t> switchTo(const std::string& aPreset);

  const ConfigState& state() const { return mReplay.state(); }
  const std::vector<HistoryEntry>& history() const { return mHistory; }

private:
  /**
   * Reads the next records and replays them. If there is none, the log service waits up
   * to `aWait` for one.
   */
  Result<void> readPage(Duration aWait);
  /** Appends a record and reads the log until it is replayed; returns its version. */
  Result<std::uint64_t> commit(ConfigRecord aRecord);
  const HistoryEntry* findRecord(const std::string& aId) const;

  CtlSettings mSettings;
  LogClient mLog;
  ConfigReplay<PresetSectionsValidator> mReplay{ PresetSectionsValidator{} };
  std::vector<HistoryEntry> mHistory;
  std::uint64_t mNextOffset = 0;
  bool mIsAtHead = false;
};

} // namespace masticwall
