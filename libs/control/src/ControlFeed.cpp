#include "ControlFeed.h"

namespace masticwall {

bool
ControlFeed::hasUpdates(const FeedRequest& aHave) const
{
  const auto preset = mTables.presets.current();
  const auto version = preset == nullptr ? 0 : preset->version;
  return version > aHave.version || mTables.membership.revision() != aHave.revision;
}

Feed
ControlFeed::makeFeed(const FeedRequest& aHave) const
{
  Feed feed;
  feed.version = aHave.version;
  const auto preset = mTables.presets.current();
  if (preset != nullptr && preset->version > aHave.version) {
    addSections(aHave, feed);
  }
  feed.revision = mTables.membership.revision();
  if (feed.revision != aHave.revision) {
    feed.vms = mTables.membership.current();
  }
  return feed;
}

void
ControlFeed::addSections(const FeedRequest& aHave, Feed& aFeed) const
{
  const auto state = mTables.config.state();
  aFeed.version = state.activeVersion();
  aFeed.preset = state.activePreset;
  aFeed.isSectionsDelta = aHave.version >= state.switchVersion;
  for (const auto& [key, section] : state.sections) {
    const bool isNew = !aFeed.isSectionsDelta || section.version > aHave.version;
    if (key.preset == state.activePreset && isNew) {
      aFeed.sections[key.section] = section.text;
    }
  }
}

} // namespace masticwall
