#pragma once

#include "ControlTables.h"
#include <QJsonObject>
#include <string>

namespace masticwall {

/** The state of a control process, from copies that hold each table's lock briefly. */
QJsonObject
dumpState(const ControlTables& aTables);

/** Counters in the usual text format of metrics. */
std::string
dumpMetrics(const ControlTables& aTables);

} // namespace masticwall
