#pragma once

#include <QByteArray>
#include <core/Result.h>
#include <decide/Vm.h>

namespace masticwall {

/** Reads the platform's VM list (JSON). Fails with a MessageError. */
Result<VmList>
parseVmList(const QByteArray& aJson);

} // namespace masticwall
