#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall {

/** The types of log lines. The external name is the value of the `event` field. */
enum class LogEvent : std::uint8_t
{
  Started,
  Stopped,
  StopRequested,
  Drained, ///< all calls and claims in progress have ended after a stop request
  ListenFailed,
  AcceptFailed,      ///< a caller's connection could not be accepted
  SettingsWrong,     ///< a reload failed; the old settings stay in use
  PresetInForce,     ///< a new configuration (preset) is in use
  PresetInvalid,     ///< a new preset was rejected
  ConfigRecordVoid,  ///< a configuration record was not applied; `verdict` says why
  ConfigRecordBad,   ///< a configuration record could not be decoded
  ConfigFromPeer,    ///< the configuration was copied from a peer
  LogUnreachable,    ///< the shared log of configuration and claims can't be read
  LogReachable,      ///< the shared log can be read again
  LogGap,            ///< the shared log was trimmed or reset beyond what was read
  ClaimsReady,       ///< all claims in the shared log have been replayed
  VmListUnreachable, ///< the VM list service can't be read (control process)
  VmListChanged,     ///< a changed VM list was read from its service (control process)
  VmLeaving,         ///< a VM is shutting down
  ControlLost,       ///< the entry process lost the connection to its control process
  ControlFound,      ///< the entry process is connected to its control process
  UpstreamFailed,    ///< an attempt at a call failed
  LoadQueryFailed,   ///< an upstream's response to a load query is broken
  ResponseDiscarded, ///< an upstream sent responses that belong to no request
  UpstreamLeaving,   ///< an upstream's response says that it is shutting down
  UpstreamHeldOff,   ///< an upstream wants no requests for a time
  RetryAfterBad,     ///< an upstream's Retry-After is no time; it is ignored
  UpstreamLimit,     ///< an upstream's request limit began, changed or ended
  IssuerLost,        ///< a VM that issues permits, for such an upstream or of a tenant,
                     ///< has not replied
  OverQuota,         ///< the first call in a while that is beyond a tenant's quota
  QuotaBad,          ///< a tenant's rate or burst makes no sense; it counts as absent
  ServerLimitBad,    ///< an upstream's request limit is no number; it is ignored
  UpstreamCold,      ///< an upstream warms up, and its service limits requests meanwhile
  WarmUpBad,         ///< what an upstream says of its warm-up is no time; it is ignored
  CallHedged,        ///< a call whose response is late was sent to a second upstream
  SuspectStopped,    ///< not retried: the request is blocked, as it crashed upstreams
  SuspectTried,   ///< sent once although it is blocked, to see whether it still crashes
  SuspectCleared, ///< a blocked request has run to its end and is let through again
  OrderUnknown,   ///< an order ended with an unknown outcome
  MessageBad,     ///< a message could not be decoded
  ReloadRequested,
  Reloaded,
  CallRefused,       ///< refused before it was matched to a route
  BodyRefused,       ///< no room for a request's body beside those of others
  KeyRefused,        ///< refused for its key, which is not logged
  TenantKeyBad,      ///< the keys of a tenant in the preset are not as they should be
  CallEnded,         ///< logged if failed or later than the route's target; else sampled
  CallAttempt,       ///< one for each attempt of a call logged as CallEnded
  SourceUnreachable, ///< the store of VM list and preset can't be read (gateway)
  SourceReachable,   ///< the source can be read again
  SourceChanged,   ///< the VM list from the source or a peer's feed has changed (gateway)
  SourceRestored,  ///< the source came back from an older copy
  EvacuationBegun, ///< a data centre is evacuated: its upstreams get nothing new
  EvacuationKept, ///< ... though the source, which came back from an older copy, lacks it
  EvacuationEnded, ///< its upstreams are used again
  StoreEraBad,     ///< the source's era is no number; it is ignored
  SourceTakenOver, ///< this VM starts reading the source instead of a peer's feed
  FeedLost,        ///< a request to a peer for its feed failed
  PeerAbsent,      ///< another VM has not replied for a while; its feed is not waited for
  PeerPresent,     ///< an absent VM replies again
  MemberGone,      ///< a masticwall VM has not replied for long; taken off the list
  MemberListedAgain, ///< this VM was missing in the list of masticwall VMs
  RecordBad,         ///< a record of the source could not be decoded and was skipped
  Suppressed,        ///< lines of another event exceeded its rate limit
};

template<>
struct EnumTable<LogEvent>
{
  static constexpr std::array<EnumName<LogEvent>, 64> kEntries{ {
    { LogEvent::Started, "started" },
    { LogEvent::Stopped, "stopped" },
    { LogEvent::StopRequested, "stop-requested" },
    { LogEvent::Drained, "drained" },
    { LogEvent::ListenFailed, "listen-failed" },
    { LogEvent::AcceptFailed, "accept-failed" },
    { LogEvent::SettingsWrong, "settings-wrong" },
    { LogEvent::PresetInForce, "preset-in-force" },
    { LogEvent::PresetInvalid, "preset-invalid" },
    { LogEvent::ConfigRecordVoid, "config-record-void" },
    { LogEvent::ConfigRecordBad, "config-record-bad" },
    { LogEvent::ConfigFromPeer, "config-from-peer" },
    { LogEvent::LogUnreachable, "log-unreachable" },
    { LogEvent::LogReachable, "log-reachable" },
    { LogEvent::LogGap, "log-gap" },
    { LogEvent::ClaimsReady, "claims-ready" },
    { LogEvent::VmListUnreachable, "vm-list-unreachable" },
    { LogEvent::VmListChanged, "vm-list-changed" },
    { LogEvent::VmLeaving, "vm-leaving" },
    { LogEvent::ControlLost, "control-lost" },
    { LogEvent::ControlFound, "control-found" },
    { LogEvent::UpstreamFailed, "upstream-failed" },
    { LogEvent::LoadQueryFailed, "load-query-failed" },
    { LogEvent::ResponseDiscarded, "response-discarded" },
    { LogEvent::UpstreamLeaving, "upstream-leaving" },
    { LogEvent::UpstreamHeldOff, "upstream-held-off" },
    { LogEvent::RetryAfterBad, "retry-after-bad" },
    { LogEvent::UpstreamLimit, "upstream-limit" },
    { LogEvent::IssuerLost, "issuer-lost" },
    { LogEvent::OverQuota, "over-quota" },
    { LogEvent::QuotaBad, "quota-bad" },
    { LogEvent::ServerLimitBad, "server-limit-bad" },
    { LogEvent::UpstreamCold, "upstream-cold" },
    { LogEvent::WarmUpBad, "warm-up-bad" },
    { LogEvent::CallHedged, "call-hedged" },
    { LogEvent::SuspectStopped, "suspect-stopped" },
    { LogEvent::SuspectTried, "suspect-tried" },
    { LogEvent::SuspectCleared, "suspect-cleared" },
    { LogEvent::OrderUnknown, "order-unknown" },
    { LogEvent::MessageBad, "message-bad" },
    { LogEvent::ReloadRequested, "reload-requested" },
    { LogEvent::Reloaded, "reloaded" },
    { LogEvent::CallRefused, "call-refused" },
    { LogEvent::BodyRefused, "body-refused" },
    { LogEvent::KeyRefused, "key-refused" },
    { LogEvent::TenantKeyBad, "tenant-key-bad" },
    { LogEvent::CallEnded, "call-ended" },
    { LogEvent::CallAttempt, "call-attempt" },
    { LogEvent::SourceUnreachable, "source-unreachable" },
    { LogEvent::SourceReachable, "source-reachable" },
    { LogEvent::SourceChanged, "source-changed" },
    { LogEvent::SourceRestored, "source-restored" },
    { LogEvent::EvacuationBegun, "evacuation-begun" },
    { LogEvent::EvacuationKept, "evacuation-kept" },
    { LogEvent::EvacuationEnded, "evacuation-ended" },
    { LogEvent::StoreEraBad, "store-era-bad" },
    { LogEvent::SourceTakenOver, "source-taken-over" },
    { LogEvent::FeedLost, "feed-lost" },
    { LogEvent::PeerAbsent, "peer-absent" },
    { LogEvent::PeerPresent, "peer-present" },
    { LogEvent::MemberGone, "member-gone" },
    { LogEvent::MemberListedAgain, "member-listed-again" },
    { LogEvent::RecordBad, "record-bad" },
    { LogEvent::Suppressed, "suppressed" },
  } };
};

} // namespace masticwall
