#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall::test {

/** A fault that a random run brings about. */
enum class Fault : std::uint8_t
{
  KillVm,
  PauseEntry,
  PauseControl,
  KillControl,
  LogHangs,
  LogRefuses,
  LogLosesAnswers,
  LogSlow,
  CutRequests,
  CutAnswers,
  FreezeUpstream,
  KillUpstream,
};

} // namespace masticwall::test

template<>
struct masticwall::EnumTable<masticwall::test::Fault>
{
  using Fault = masticwall::test::Fault;
  static constexpr std::array<EnumName<Fault>, 12> kEntries{ {
    { Fault::KillVm, "kill-vm" },
    { Fault::PauseEntry, "pause-entry" },
    { Fault::PauseControl, "pause-control" },
    { Fault::KillControl, "kill-control" },
    { Fault::LogHangs, "log-hangs" },
    { Fault::LogRefuses, "log-refuses" },
    { Fault::LogLosesAnswers, "log-loses-answers" },
    { Fault::LogSlow, "log-slow" },
    { Fault::CutRequests, "cut-requests" },
    { Fault::CutAnswers, "cut-answers" },
    { Fault::FreezeUpstream, "freeze-upstream" },
    { Fault::KillUpstream, "kill-upstream" },
  } };
};
