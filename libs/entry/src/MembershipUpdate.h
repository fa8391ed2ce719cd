#pragma once

#include <entry/EntryTables.h>

namespace masticwall {

/** Updates the upstream and admission tables from the active preset and the VM list. */
void
applyMembership(EntryTables& aTables, Instant aNow);

/** Whether the VM list or a peer reports this VM's own instance as draining. */
bool
isListedAsLeaving(const EntryTables& aTables);

} // namespace masticwall
