#pragma once

#include <entry/Backplane.h>
#include <entry/EntryTables.h>

namespace masticwall {

/** Sets the gauges of `aTables.metrics` to what they are now. Main thread. */
void
setGauges(EntryTables& aTables, const Backplane& aBackplane);

} // namespace masticwall
