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
  RecordInvalid,  ///< the preset would be invalid, or does not exist
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
    { CtlError::RecordConflict,
      "another operator's record came first; nothing changed: look at "
      "'masticwallctl history', then try again" },
    { CtlError::RecordInvalid,
      "it would make an invalid preset, or there is no such preset; nothing changed" },
    { CtlError::RequestUnknown,
      "no line of these logs names the request; calls answered in time are sampled" },
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
