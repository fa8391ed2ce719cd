#include <gateway/TenantKeyLog.h>
#include <telemetry/EventLog.h>

namespace masticwall {

void
logTenantKeyProblems(const Preset& aPreset)
{
  const auto& tenants = aPreset.listedTenants();
  for (const auto& it : aPreset.tenantIndex.problems()) {
    logEvent(LogEvent::TenantKeyBad,
             { { "version", aPreset.version },
               { "fault", nameOf(it.fault) },
               { "tenant", tenants[it.tenant].name },
               { "other", tenants[it.other].name } });
  }
}

} // namespace masticwall
