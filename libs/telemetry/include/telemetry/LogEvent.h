#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall {

/** The events that processes log; one line each. */
enum class LogEvent : std::uint8_t
{
  Started,
  Stopped,
  StopRequested,
  Drained,
  ListenFailed,
  SettingsWrong,
  PresetInForce,
  PresetInvalid,
  ConfigRecordVoid,
  ConfigRecordBad,
  ConfigFromPeer,
  LogUnreachable,
  LogReachable,
  LogGap,
  ClaimsReady,
  VmListUnreachable,
  VmListChanged,
  VmLeaving,
  ControlLost,
  ControlFound,
  UpstreamFailed,
  UpstreamLeaving,
  SuspectStopped,
  OrderUnknown,
  MessageBad,
  ReloadRequested,
  Reloaded,
  CallRefused,
  CallEnded,
  CallAttempt,
  SourceUnreachable,
  SourceReachable,
  SourceChanged,
  SourceTakenOver,
  FeedLost,
  RecordBad,
  Suppressed,
};

template<>
struct EnumTable<LogEvent>
{
  static constexpr std::array<EnumName<LogEvent>, 37> kEntries{ {
    { LogEvent::Started, "started" },
    { LogEvent::Stopped, "stopped" },
    { LogEvent::StopRequested, "stop-requested" },
    { LogEvent::Drained, "drained" },
    { LogEvent::ListenFailed, "listen-failed" },
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
    { LogEvent::UpstreamLeaving, "upstream-leaving" },
    { LogEvent::SuspectStopped, "suspect-stopped" },
    { LogEvent::OrderUnknown, "order-unknown" },
    { LogEvent::MessageBad, "message-bad" },
    { LogEvent::ReloadRequested, "reload-requested" },
    { LogEvent::Reloaded, "reloaded" },
    { LogEvent::CallRefused, "call-refused" },
    { LogEvent::CallEnded, "call-ended" },
    { LogEvent::CallAttempt, "call-attempt" },
    { LogEvent::SourceUnreachable, "source-unreachable" },
    { LogEvent::SourceReachable, "source-reachable" },
    { LogEvent::SourceChanged, "source-changed" },
    { LogEvent::SourceTakenOver, "source-taken-over" },
    { LogEvent::FeedLost, "feed-lost" },
    { LogEvent::RecordBad, "record-bad" },
    { LogEvent::Suppressed, "suppressed" },
  } };
};

} // namespace masticwall
