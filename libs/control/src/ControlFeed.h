#pragma once

#include "ControlTables.h"
#include <feed/FeedContents.h>

namespace masticwall {

/** What a control process tells its entry process, from its tables. */
class ControlFeed
{
public:
  explicit ControlFeed(const ControlTables& aTables)
    : mTables(aTables)
  {
  }

  bool hasNews(const FeedRequest& aHave) const;
  Feed newsFor(const FeedRequest& aHave) const;

private:
  void addSections(const FeedRequest& aHave, Feed& aFeed) const;

  const ControlTables& mTables;
};

static_assert(FeedContents<ControlFeed>);

} // namespace masticwall
