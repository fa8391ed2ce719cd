#pragma once

#include <core/EnumNames.h>

namespace masticwall {

/** The exit codes of masticwallctl. */
enum class CtlExitCode : int
{
  Done = 0,
  PlatformFailed = 1, ///< log or VM list unreachable; the outcome is unknown
  WrongInput = 2,     ///< wrong arguments, or an invalid preset
  Conflict = 3,       ///< another operator's record came first; check, then retry
  VmsDiffer = 4,      ///< some VMs did not reply or have an older version
};

template<>
struct EnumTable<CtlExitCode>
{
  static constexpr std::array<EnumName<CtlExitCode>, 5> kEntries{ {
    { CtlExitCode::Done, "done" },
    { CtlExitCode::PlatformFailed, "platform-failed" },
    { CtlExitCode::WrongInput, "wrong-input" },
    { CtlExitCode::Conflict, "void" },
    { CtlExitCode::VmsDiffer, "vms-differ" },
  } };
};

} // namespace masticwall
