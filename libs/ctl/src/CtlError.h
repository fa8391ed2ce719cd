#pragma once

#include <core/ErrorEnum.h>
#include <ctl/CtlExit.h>

namespace masticwall {

/** Why a command of masticwallctl failed. */
enum class CtlError
{
  LogUnreachable = 1,
  VmListUnreachable,
  VmUnreachable,
  UnknownVm,
  FileUnreadable,
  PresetInvalid,
  RecordVoid,    ///< another record came first
  RecordInvalid, ///< it would make an invalid preset
  RequestUnknown,
};

template<>
struct EnumTable<CtlError>
{
  static constexpr const char* kCategory = "ctl";
  static constexpr std::array<EnumName<CtlError>, 9> kEntries{ {
    { CtlError::LogUnreachable,
      "the log service does not answer; the record may still take effect: look at "
      "'masticwallctl history' before you try again" },
    { CtlError::VmListUnreachable, "the VM list does not answer; check --vm-list-url" },
    { CtlError::VmUnreachable, "the VM does not answer on its operators' port" },
    { CtlError::UnknownVm, "the VM list has no such VM of masticwall" },
    { CtlError::FileUnreadable, "the file can't be read" },
    { CtlError::PresetInvalid, "the preset is not valid; nothing was published" },
    { CtlError::RecordVoid,
      "another operator's record came first; nothing changed: look at "
      "'masticwallctl history', then try again" },
    { CtlError::RecordInvalid,
      "it would make an invalid preset, or there is no such preset; nothing changed" },
    { CtlError::RequestUnknown,
      "no line of these logs names the request; calls answered in time are sampled" },
  } };
};

/** The exit code that goes with `aError`. */
constexpr CtlExit
exitOf(CtlError aError)
{
  switch (aError) {
    case CtlError::LogUnreachable:
    case CtlError::VmListUnreachable:
      return CtlExit::PlatformFailed;
    case CtlError::VmUnreachable:
      return CtlExit::VmsDiffer;
    case CtlError::RecordVoid:
      return CtlExit::Void;
    default:
      return CtlExit::WrongInput;
  }
}

} // namespace masticwall
