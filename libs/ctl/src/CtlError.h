#pragma once

#include <core/ErrorEnum.h>
#include <ctl/CtlExitCode.h>

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
  RecordConflict, ///< another operator's record came first
  RecordInvalid,  ///< the preset would be invalid, or the one to activate is unknown
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
    { CtlError::VmListUnreachable,
      "the VM list can't be fetched or is malformed; check --vm-list-url" },
    { CtlError::VmUnreachable, "the VM does not answer on its operator port" },
    { CtlError::UnknownVm, "the VM list has no masticwall VM of this name" },
    { CtlError::FileUnreadable, "the file can't be read" },
    { CtlError::PresetInvalid, "the preset is not valid; nothing was published" },
    { CtlError::RecordConflict,
      "another operator's record came first; this change was not applied: look at "
      "'masticwallctl history', then try again" },
    { CtlError::RecordInvalid,
      "the preset would be invalid, or does not exist; this change was not applied" },
    { CtlError::RequestUnknown,
      "no log line has this request id; of the calls that succeeded in time, only a "
      "sample is logged" },
  } };
};

/** The exit code for `aError`. */
constexpr CtlExitCode
exitCodeOf(CtlError aError)
{
  switch (aError) {
    case CtlError::LogUnreachable:
    case CtlError::VmListUnreachable:
      return CtlExitCode::PlatformFailed;
    case CtlError::VmUnreachable:
      return CtlExitCode::VmsDiffer;
    case CtlError::RecordConflict:
      return CtlExitCode::Conflict;
    default:
      return CtlExitCode::WrongInput;
  }
}

} // namespace masticwall
