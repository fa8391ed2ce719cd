#pragma once

#include <entry/EntryTables.h>
#include <messages/Feed.h>
#include <settings/PresetAssembler.h>

namespace masticwall {

/** Brings what the control process tells into the tables. Main thread. */
class FeedIntake
{
public:
  explicit FeedIntake(EntryTables& aTables)
    : mTables(aTables)
  {
  }

  /** True if the preset or the membership has changed. */
  bool take(const Feed& aFeed, Instant aNow);

private:
  void putPreset(const Feed& aFeed);

  EntryTables& mTables;
  PresetSections mSections; ///< of the preset in force
  PresetAssembler mAssembler;
};

} // namespace masticwall
