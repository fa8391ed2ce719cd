#pragma once

#include <core/EnumNames.h>

namespace masticwall {

/** The counters of a process besides those of calls. Each has a `result` label. */
enum class Counter
{
  SourceReadings, ///< reads of the platform's VM list and configuration
  Feeds,          ///< requests to another VM for its VM list and configuration
  Retries,        ///< retries of calls, sent or denied by the retry budget
  LoadQueries,    ///< requests to upstreams for their current load
};

template<>
struct EnumTable<Counter>
{
  static constexpr std::array<EnumName<Counter>, 4> kEntries{ {
    { Counter::SourceReadings, "masticwall_source_readings_total" },
    { Counter::Feeds, "masticwall_feeds_total" },
    { Counter::Retries, "masticwall_retries_total" },
    { Counter::LoadQueries, "masticwall_load_queries_total" },
  } };
};

} // namespace masticwall
