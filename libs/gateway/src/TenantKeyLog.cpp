#include <gateway/TenantKeyLog.h>
#include <telemetry/EventLog.h>

namespace masticwall {

void
logTenantKeyProblems(const Preset& aPreset)
{
  for (const auto& it : aPreset.tenantIndex.problems()) {
    logEvent(LogEvent::TenantKeyBad,
             { { "version", aPreset.version },
               { "fault", nameOf(it.fault) },
               { "tenant", aPreset.tenants[it.tenant].name },
               { "other", aPreset.tenants[it.other].name } });
  }
}

} // namespace masticwall
