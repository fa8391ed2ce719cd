#include "SettingsParser.h"
#include <settings/EntrySettings.h>

namespace masticwall {

namespace {

constexpr std::int64_t kMaxWorkers = 64;
constexpr std::int64_t kMaxRequestTimeoutMs = 600'000;
constexpr std::int64_t kMaxIdleTimeoutMs = 3'600'000;
constexpr std::int64_t kMaxNoticeMs = 600'000;
constexpr std::int64_t kMaxDrainMs = 3'600'000;

} // namespace

SettingsParseResult<EntrySettings>
EntrySettings::parse(int aArgc, const char* const* aArgv)
{
  EntrySettings settings;
  std::int64_t workers = settings.workers;
  std::int64_t requestMs = toMilliseconds(settings.requestTimeout);
  std::int64_t idleMs = toMilliseconds(settings.idleTimeout);
  std::int64_t noticeMs = toMilliseconds(settings.noticePeriod);
  std::int64_t drainMs = toMilliseconds(settings.maxDrainTime);
  SettingsParser parser("masticwall-entry",
                        "Takes calls from callers and sends them to upstreams.");
  parser.addCommon(settings.common);
  parser.addPort("port", settings.port, "Port for callers.");
  parser.addPort("peer-port", settings.peerPort, "Port for other entry processes.");
  parser.addPort(
    "operator-port", settings.operatorPort, "Port for state, metrics and drain.");
  parser.addPort(
    "control-port", settings.controlPort, "Port of this VM's control process.");
  parser.addInteger("workers", workers, 1, kMaxWorkers, "Worker threads.");
  parser.addInteger("request-timeout-ms",
                    requestMs,
                    1,
                    kMaxRequestTimeoutMs,
                    "Milliseconds from a request's first byte to its last.");
  parser.addInteger("idle-timeout-ms",
                    idleMs,
                    1,
                    kMaxIdleTimeoutMs,
                    "Milliseconds that a caller's connection may be idle.");
  parser.addInteger("notice-ms",
                    noticeMs,
                    0,
                    kMaxNoticeMs,
                    "Milliseconds from SIGTERM to the last accepted connection.");
  parser.addInteger("longest-drain-ms",
                    drainMs,
                    1,
                    kMaxDrainMs,
                    "Milliseconds from SIGTERM to the end at the latest.");
  if (!parser.parse(aArgc, aArgv)) {
    return { std::nullopt, parser.exitCode(), parser.output() };
  }
  settings.workers = static_cast<int>(workers);
  settings.requestTimeout = std::chrono::milliseconds(requestMs);
  settings.idleTimeout = std::chrono::milliseconds(idleMs);
  settings.noticePeriod = std::chrono::milliseconds(noticeMs);
  settings.maxDrainTime = std::chrono::milliseconds(drainMs);
  return { settings, 0, {} };
}

} // namespace masticwall
