#pragma once

#include <entry/EntryTables.h>
#include <messages/Feed.h>
#include <settings/PresetAssembler.h>

namespace masticwall {

/** Applies the feed of the control process to the tables. Used on the main thread. */
class FeedApplier
{
public:
  explicit FeedApplier(EntryTables& aTables)
    : mTables(aTables)
  {
  }

  /** Returns true if the membership has changed or the feed has a preset, even an invalid
   * one. */
  bool apply(const Feed& aFeed, Instant aNow);

private:
  void applyPreset(const Feed& aFeed);

  EntryTables& mTables;
  PresetSections mSections; ///< of the last preset received, deltas merged in
  PresetAssembler mAssembler;
};

} // namespace masticwall
