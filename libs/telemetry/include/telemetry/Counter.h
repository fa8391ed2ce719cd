#pragma once

#include <core/EnumNames.h>

namespace masticwall {

/** What a process counts beside calls, each by its result. */
enum class Counter
{
  SourceReadings,
  Feeds,
  Retries,
  LoadQueries,
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
