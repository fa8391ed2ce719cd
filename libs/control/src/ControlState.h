#pragma once

#include "ControlTables.h"
#include <QJsonObject>
#include <string>

namespace masticwall {

/**
 * The state of a control process, as served on /state. Each table is locked only while
 * it is copied.
 */
QJsonObject
dumpState(const ControlTables& aTables);

/** The metrics of a control process in the Prometheus text format. */
std::string
dumpMetrics(const ControlTables& aTables);

} // namespace masticwall
