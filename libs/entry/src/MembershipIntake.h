#pragma once

#include <entry/EntryTables.h>

namespace masticwall {

/** Brings the preset in force and the VM list into the tables that decide. */
void
applyMembership(EntryTables& aTables, Instant aNow);

/** The VM list, or a peer, says that this instance of this VM leaves. */
bool
isListedAsLeaving(const EntryTables& aTables);

} // namespace masticwall
