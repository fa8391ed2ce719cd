#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall::test {

/** A fault, or planned work, that a soak brings about. */
enum class SoakFault : std::uint8_t
{
  StopGateway,     ///< SIGTERM, then started again
  ReloadGateway,   ///< SIGHUP
  PauseGateway,    ///< SIGSTOP, SIGCONT
  KillGateway,     ///< SIGKILL, then started again
  HangStore,       ///< it takes requests and does not answer
  RefuseStore,     ///< it answers 503
  ShedUpstream,    ///< rejects all calls
  FailUpstream,    ///< answers 500
  SlowUpstream,    ///< twenty times slower
  PauseUpstream,   ///< SIGSTOP, SIGCONT
  CrashUpstream,   ///< SIGKILL, then a new instance on its address
  DrainUpstream,   ///< listed as draining, then a new instance
  LeaveUpstream,   ///< says in its answers that it leaves, then a new instance
  HoldOffUpstream, ///< rejects all calls, and asks for a pause
  ChangeConfig,    ///< a new version
};

} // namespace masticwall::test

template<>
struct masticwall::EnumTable<masticwall::test::SoakFault>
{
  using SoakFault = masticwall::test::SoakFault;
  static constexpr std::array<EnumName<SoakFault>, 15> kEntries{ {
    { SoakFault::StopGateway, "stop-gateway" },
    { SoakFault::ReloadGateway, "reload-gateway" },
    { SoakFault::PauseGateway, "pause-gateway" },
    { SoakFault::KillGateway, "kill-gateway" },
    { SoakFault::HangStore, "hang-store" },
    { SoakFault::RefuseStore, "refuse-store" },
    { SoakFault::ShedUpstream, "shed-upstream" },
    { SoakFault::FailUpstream, "fail-upstream" },
    { SoakFault::SlowUpstream, "slow-upstream" },
    { SoakFault::PauseUpstream, "pause-upstream" },
    { SoakFault::CrashUpstream, "crash-upstream" },
    { SoakFault::DrainUpstream, "drain-upstream" },
    { SoakFault::LeaveUpstream, "leave-upstream" },
    { SoakFault::HoldOffUpstream, "hold-off-upstream" },
    { SoakFault::ChangeConfig, "change-config" },
  } };
};
