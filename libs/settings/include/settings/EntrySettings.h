#pragma once

#include <core/Bytes.h>
#include <core/Time.h>
#include <decide/HedgePolicy.h>
#include <decide/Locality.h>
#include <settings/CommonSettings.h>
#include <settings/SettingsParseResult.h>

namespace masticwall {

/** The settings of masticwall-entry. */
struct EntrySettings
{
  CommonSettings common;
  std::uint16_t port = 8080;         ///< for callers
  std::uint16_t peerPort = 8081;     ///< for other entry processes
  std::uint16_t operatorPort = 8082; ///< state dump, metrics, drain
  std::uint16_t controlPort = 8083;  ///< of this VM's control process
  int workers = 2;                   ///< number of worker threads
  int maxSockets = 0; ///< sockets and pipes of the process; 0: by the system's limit
  std::size_t memoryBytes = 1024 * kMiB; ///< that the process may use
  Duration requestTimeout{ 10s };        ///< from a request's first byte to its last
  Duration idleTimeout{ 60s };           ///< of a caller's connection between requests
  Duration noticePeriod{ 5s };  ///< how long after SIGTERM connections are accepted
  Duration maxDrainTime{ 60s }; ///< max time from SIGTERM to the exit
  HedgePolicy hedging;          ///< masticwall-gateway only

  Locality locality() const
  {
    Locality locality;
    locality.region = common.region;
    locality.dataCentre = common.dataCentre;
    return locality;
  }

  /** Reads flags and environment variables; reports all invalid ones together. */
  static SettingsParseResult<EntrySettings> parse(int aArgc, const char* const* aArgv);
};

} // namespace masticwall
