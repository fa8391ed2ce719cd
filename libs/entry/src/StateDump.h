#pragma once

#include "EntryTables.h"
#include "EntryWorker.h"
#include <QJsonObject>
#include <memory>
#include <vector>

namespace masticwall {

/** The state of an entry process, from copies that hold each table's lock briefly. */
QJsonObject
dumpState(const EntryTables& aTables,
          bool aIsControlConnected,
          const std::vector<std::unique_ptr<EntryWorker>>& aWorkers);

} // namespace masticwall
