#pragma once

#include <settings/CommonSettings.h>
#include <settings/SettingsParseResult.h>

namespace masticwall {

/** The settings of masticwall-control. */
struct ControlSettings
{
  CommonSettings common;
  std::uint16_t port = 8083; ///< for this VM's entry process and other control processes
  std::uint16_t operatorPort = 8084;               ///< state dump and metrics
  std::string logUrl = "http://127.0.0.1:9000";    ///< platform's log service
  std::string vmListUrl = "http://127.0.0.1:9001"; ///< platform's VM list service
  std::int64_t logRetentionMs = 3'600'000;         ///< how long the log keeps a record

  /** Reads flags and environment variables; reports all invalid ones together. */
  static SettingsParseResult<ControlSettings> parse(int aArgc, const char* const* aArgv);
};

} // namespace masticwall
