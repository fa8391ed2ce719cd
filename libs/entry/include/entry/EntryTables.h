#pragma once

#include <atomic>
#include <core/Bytes.h>
#include <decide/DrainSchedule.h>
#include <entry/WorkerGauges.h>
#include <http/ByteBudget.h>
#include <http/Response.h>
#include <optional>
#include <settings/EntrySettings.h>
#include <tables/AdmissionTable.h>
#include <tables/MembershipTable.h>
#include <tables/OrderTable.h>
#include <tables/PresetTable.h>
#include <tables/QuotaTable.h>
#include <tables/SuspectTable.h>
#include <tables/UpstreamTable.h>
#include <telemetry/CallStatistics.h>
#include <telemetry/Metrics.h>

namespace masticwall {

/** Memory limit, in bytes, for the recorded responses of orders; the oldest are dropped
 * beyond it. */
inline constexpr std::size_t kMaxRecordedResponseBytes = 32 * kMiB;

/**
 * The part of the process's memory for messages on their way. A message takes up to three
 * times its size while it is received, encoded and written, and the buffers of strings
 * that grow as much again.
 */
inline constexpr std::size_t kMessageBytesDivisor = 24;

/**
 * The part of the process's memory for the bodies of requests, from when their length is
 * known until their calls have ended. While one is sent, there are two more copies of it.
 */
inline constexpr std::size_t kRequestBytesDivisor = 8;

/** The settings, tables and counters that the workers of an entry process share. All
 * are thread-safe. */
struct EntryTables
{
  EntryTables(const EntrySettings& aSettings, std::uint64_t aIncarnation)
    : settings(aSettings)
    , incarnation(aIncarnation)
    , messageBytes(
        std::make_shared<http::ByteBudget>(aSettings.memoryBytes / kMessageBytesDivisor))
    , requestBytes(
        std::make_shared<http::ByteBudget>(aSettings.memoryBytes / kRequestBytesDivisor))
    , upstreams(aSettings.locality(), aIncarnation)
    , gauges(static_cast<std::size_t>(aSettings.workers))
  {
  }

  const EntrySettings settings;
  const std::uint64_t incarnation; ///< random for each start; part of its claims' ids
  /** Of the callers' and upstreams' connections of all workers. */
  const std::shared_ptr<http::ByteBudget> messageBytes;
  const std::shared_ptr<http::ByteBudget> requestBytes; ///< of callers, likewise
  PresetTable presets;
  MembershipTable membership;
  AdmissionTable admission;
  UpstreamTable upstreams;
  OrderTable<http::Response> orders{ kMaxRecordedResponseBytes };
  SuspectTable suspects;
  QuotaTable quotas;
  CallStatistics statistics;
  Metrics metrics;
  std::vector<WorkerGauges> gauges; ///< by worker index
  std::atomic<std::uint64_t> nextClaimSequence{ 1 };
  /** When this VM or a peer last read the source of presets, since the clock's epoch;
   * Duration::min(): never, or there is none. */
  std::atomic<Duration::rep> sourceReadAt{ Duration::min().count() };

  /** The time since then; the highest if there is none. */
  Duration sourceAge(Instant aNow) const
  {
    const Duration readAt(sourceReadAt);
    return readAt == Duration::min() ? Duration::max() : aNow.time_since_epoch() - readAt;
  }

  /** Listed entry processes that are not draining; at least 1. */
  std::atomic<int> entryCount{ 1 };
  std::atomic<int> upstreamCount{ 0 };  ///< listed upstreams
  std::atomic<bool> isLeaving{ false }; ///< this process is draining

  /** When that began, since the clock's epoch; 0: it has not. Set before isLeaving. */
  std::atomic<Duration::rep> drainStartedAt{ 0 };

  /** Empty unless this process is draining. */
  std::optional<DrainSchedule> drainSchedule() const
  {
    if (!isLeaving) {
      return std::nullopt;
    }
    const Instant startedAt{ Duration(drainStartedAt) };
    return DrainSchedule{ startedAt + settings.noticePeriod,
                          startedAt + settings.maxDrainTime };
  }
};

using OrderView = OrderTable<http::Response>::View;

} // namespace masticwall
