#include "SettingsParser.h"
#include <settings/ControlSettings.h>

namespace masticwall {

SettingsParseResult<ControlSettings>
ControlSettings::parse(int aArgc, const char* const* aArgv)
{
  constexpr std::int64_t kMinRetentionMs = 1000;
  constexpr std::int64_t kMaxRetentionMs = 30LL * 24 * 3600 * 1000;
  ControlSettings settings;
  SettingsParser parser(
    "masticwall-control",
    "Follows the configuration and the VM list, and keeps order claims.");
  parser.addCommon(settings.common);
  parser.addPort("port", settings.port, "Port for this VM's entry and for other VMs.");
  parser.addPort("operator-port", settings.operatorPort, "Port for state and metrics.");
  parser.addUrl("log-url", settings.logUrl, "The platform's log service.");
  parser.addUrl("vm-list-url", settings.vmListUrl, "The platform's VM list.");
  parser.addInteger("log-retention-ms",
                    settings.logRetentionMs,
                    kMinRetentionMs,
                    kMaxRetentionMs,
                    "Milliseconds that the log keeps a record.");
  if (!parser.parse(aArgc, aArgv)) {
    return { std::nullopt, parser.exitCode(), parser.output() };
  }
  return { settings, 0, {} };
}

} // namespace masticwall
