#pragma once

#include <core/EnumNames.h>

namespace masticwall {

/** What a process measures of itself at the moment when it is asked. */
enum class Gauge
{
  PresetVersion,
  SourceAge,
  Upstreams,
  Entries,
  Calls,
  CallerConnections,
  UpstreamConnections,
  LogLinesDropped,
};

template<>
struct EnumTable<Gauge>
{
  static constexpr std::array<EnumName<Gauge>, 8> kEntries{ {
    { Gauge::PresetVersion, "masticwall_preset_version" },
    { Gauge::SourceAge, "masticwall_source_age_seconds" },
    { Gauge::Upstreams, "masticwall_upstreams" },
    { Gauge::Entries, "masticwall_entries" },
    { Gauge::Calls, "masticwall_calls_in_progress" },
    { Gauge::CallerConnections, "masticwall_caller_connections" },
    { Gauge::UpstreamConnections, "masticwall_upstream_connections" },
    { Gauge::LogLinesDropped, "masticwall_log_lines_dropped" },
  } };
};

} // namespace masticwall
