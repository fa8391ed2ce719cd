#pragma once

#include <QByteArray>
#include <core/Result.h>
#include <decide/Vm.h>

namespace masticwall {

/** Parses the platform's VM list (JSON). Fails with a MessageError. */
Result<VmList>
parseVmList(const QByteArray& aJson);

} // namespace masticwall
