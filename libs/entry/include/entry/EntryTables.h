#pragma once

#include <atomic>
#include <core/Bytes.h>
#include <entry/WorkerGauges.h>
#include <http/Response.h>
#include <settings/EntrySettings.h>
#include <tables/AdmissionTable.h>
#include <tables/MembershipTable.h>
#include <tables/OrderTable.h>
#include <tables/PresetTable.h>
#include <tables/SuspectTable.h>
#include <tables/UpstreamTable.h>
#include <telemetry/CallStatistics.h>
#include <telemetry/Metrics.h>

namespace masticwall {

/** What the recorded answers of orders may hold in memory. */
inline constexpr std::size_t kMostAnswerBytes = 32 * kMiB;

/** The tables that the workers of an entry process share. */
struct EntryTables
{
  EntryTables(const EntrySettings& aSettings, std::uint64_t aIncarnation)
    : settings(aSettings)
    , incarnation(aIncarnation)
    , upstreams(aSettings.locality(), aIncarnation)
    , gauges(static_cast<std::size_t>(aSettings.workers))
  {
  }

  const EntrySettings settings;
  const std::uint64_t incarnation; ///< of this process; names its claims
  PresetTable presets;
  MembershipTable membership;
  AdmissionTable admission;
  UpstreamTable upstreams;
  OrderTable<http::Response> orders{ kMostAnswerBytes };
  SuspectTable suspects;
  CallStatistics statistics;
  Metrics metrics;
  std::vector<WorkerGauges> gauges; ///< by worker
  std::atomic<std::uint64_t> nextClaim{ 1 };
  std::atomic<int> entryCount{ 1 };    ///< entry processes that are listed, this one too
  std::atomic<int> upstreamCount{ 0 }; ///< upstreams that are listed
  std::atomic<bool> isLeaving{ false };
};

using OrderView = OrderTable<http::Response>::View;

} // namespace masticwall
