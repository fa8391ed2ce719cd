#pragma once

#include <entry/ControlPlane.h>
#include <entry/EntryTables.h>

namespace masticwall {

/** Sets the gauges of `aTables.metrics` to their current values. Main thread only. */
void
setGauges(EntryTables& aTables, const ControlPlane& aControlPlane);

} // namespace masticwall
