#pragma once

#include <QByteArray>
#include <core/Result.h>
#include <string>

namespace masticwall {

/** Announces that an instance of a VM is shutting down. */
struct LeavingNotice
{
  std::string vm;       ///< name in the VM list
  std::string instance; ///< id, new at each start of the VM
};

QByteArray
encode(const LeavingNotice& aNotice);

/** Fails with a MessageError. */
Result<LeavingNotice>
decodeLeavingNotice(const QByteArray& aBytes);

} // namespace masticwall
