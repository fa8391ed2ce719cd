#pragma once

#include <QJsonObject>
#include <entry/EntryTables.h>

namespace masticwall {

/** The state of an entry process, from copies that hold each table's lock briefly. */
QJsonObject
dumpState(const EntryTables& aTables, bool aIsControlConnected);

} // namespace masticwall
