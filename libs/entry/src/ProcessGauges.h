#pragma once

#include <entry/Backplane.h>
#include <entry/EntryTables.h>

namespace masticwall {

/** Sets the gauges of `aTables.metrics` to their current values. Main thread only. */
void
setGauges(EntryTables& aTables, const Backplane& aBackplane);

} // namespace masticwall
