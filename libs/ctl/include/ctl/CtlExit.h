#pragma once

#include <core/EnumNames.h>

namespace masticwall {

/** The exit codes of masticwallctl. */
enum class CtlExit : int
{
  Done = 0,
  PlatformFailed = 1, ///< the log or VM list can't be reached; nothing is known
  WrongInput = 2,     ///< wrong arguments, or an invalid preset
  Void = 3,           ///< another operator was first; look, then try again
  VmsDiffer = 4,      ///< some VMs did not answer or are not at the version
};

template<>
struct EnumTable<CtlExit>
{
  static constexpr std::array<EnumName<CtlExit>, 5> kEntries{ {
    { CtlExit::Done, "done" },
    { CtlExit::PlatformFailed, "platform-failed" },
    { CtlExit::WrongInput, "wrong-input" },
    { CtlExit::Void, "void" },
    { CtlExit::VmsDiffer, "vms-differ" },
  } };
};

} // namespace masticwall
