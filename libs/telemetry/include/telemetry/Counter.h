#pragma once

#include <core/EnumNames.h>

namespace masticwall {

/**
 * The counters of a process besides those of calls. Each has a `result` label: "ok", or
 * the error's name, unless stated otherwise.
 */
enum class Counter
{
  SourceReads,  ///< reads of the source (the store of VM list and preset)
  FeedRequests, ///< requests to a peer for its feed (its VM list and preset)
  Retries,      ///< retries of calls: "sent", or "over-budget" if denied by the budget
  /** What upstreams report about themselves: "leaving", "held-off" (they want no requests
   * for a time), "limited" or "unlimited" (a request limit begins or ends),
   * "cold" (it warms up), "bad-retry-after", "bad-server-limit" or "bad-warm-up". */
  UpstreamSignals,
  LoadQueries, ///< "answered" or "failed" queries; "over-budget": none sent
  Quotas,      ///< calls of tenants with a quota: how QuotaVerdict decided first
  /** Messages for permits of quotas, each for several tenants: "sent", "served", "lost";
   * "alone": no issuer replies. */
  QuotaMessages,
  /** Calls refused for their key, by KeyVerdict: "missing", "malformed", "repeated",
   * "unknown" or "stale". */
  KeyRefusals,
  /** Late calls, by HedgeVerdict: "sent", or why no hedge was; of those sent also how
   * they ended: "won", "wasted" or "failed". */
  Hedges,
  LimitedRequests, ///< to upstreams with a request limit: "call"; "no-permit": none sent
};

template<>
struct EnumTable<Counter>
{
  static constexpr std::array<EnumName<Counter>, 10> kEntries{ {
    { Counter::SourceReads, "masticwall_source_readings_total" },
    { Counter::FeedRequests, "masticwall_feeds_total" },
    { Counter::Retries, "masticwall_retries_total" },
    { Counter::UpstreamSignals, "masticwall_upstream_signals_total" },
    { Counter::LoadQueries, "masticwall_load_queries_total" },
    { Counter::Quotas, "masticwall_quota_calls_total" },
    { Counter::QuotaMessages, "masticwall_quota_messages_total" },
    { Counter::KeyRefusals, "masticwall_key_refusals_total" },
    { Counter::Hedges, "masticwall_hedges_total" },
    { Counter::LimitedRequests, "masticwall_limited_requests_total" },
  } };
};

} // namespace masticwall
