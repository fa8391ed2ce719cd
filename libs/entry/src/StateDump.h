#pragma once

#include <QJsonObject>
#include <entry/EntryTables.h>

namespace masticwall {

/** An entry process's state as JSON. Thread-safe: copies each table under its own lock,
 * one after the other. */
QJsonObject
dumpState(const EntryTables& aTables, bool aIsControlConnected);

} // namespace masticwall
