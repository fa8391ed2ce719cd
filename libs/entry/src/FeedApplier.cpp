#include "FeedApplier.h"
#include <telemetry/EventLog.h>

namespace masticwall {

bool
FeedApplier::apply(const Feed& aFeed, Instant aNow)
{
  bool isChanged = false;
  if (!aFeed.vms.empty()) {
    isChanged = mTables.membership.putList(aFeed.vms);
  }
  if (!aFeed.sections.empty()) {
    applyPreset(aFeed);
    isChanged = true;
  }
  for (const auto& it : aFeed.suspects) {
    mTables.suspects.merge(it, aNow);
  }
  return isChanged;
}

void
FeedApplier::applyPreset(const Feed& aFeed)
{
  if (!aFeed.isSectionsDelta) {
    mSections.clear();
  }
  for (const auto& [name, text] : aFeed.sections) {
    mSections[name] = text;
  }
  auto parse = mAssembler.assemble(mSections);
  if (!parse.isValid()) {
    logEvent(LogEvent::PresetInvalid, { { "preset", aFeed.preset } });
    return;
  }
  auto preset = std::make_shared<Preset>(std::move(parse.preset));
  preset->name = aFeed.preset;
  preset->version = aFeed.version;
  if (mTables.presets.put(preset)) {
    logEvent(LogEvent::PresetInForce,
             { { "preset", preset->name }, { "version", preset->version } });
  }
}

} // namespace masticwall
