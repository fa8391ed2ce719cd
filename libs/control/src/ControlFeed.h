#pragma once

#include "ControlTables.h"
#include <feed/FeedProvider.h>

namespace masticwall {

/**
 * Builds the feed for the entry process of this VM from the shared tables, which must
 * outlive it. Used on the main thread.
 */
class ControlFeed
{
public:
  explicit ControlFeed(const ControlTables& aTables)
    : mTables(aTables)
  {
  }

  /** Whether the tables have something newer than what the client has. */
  bool hasUpdates(const FeedRequest& aHave) const;
  Feed makeFeed(const FeedRequest& aHave) const;

private:
  void addSections(const FeedRequest& aHave, Feed& aFeed) const;

  const ControlTables& mTables;
};

static_assert(FeedProvider<ControlFeed>);

} // namespace masticwall
