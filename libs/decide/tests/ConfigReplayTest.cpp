#include <catch2/catch.hpp>
#include <decide/ConfigReplay.h>

using namespace masticwall;

namespace {

/** A validator that rejects sections with the text "bad". */
struct RejectBadText
{
  bool operator()(const std::map<std::string, std::string>& aSections) const
  {
    for (const auto& [name, text] : aSections) {
      if (text == "bad") {
        return false;
      }
    }
    return true;
  }
};

using Replay = ConfigReplay<RejectBadText>;

ConfigRecord
publish(const std::string& aPreset, std::uint64_t aBase, const std::string& aText = "x")
{
  ConfigRecord record;
  record.key = { aPreset, kGeneralSection };
  record.base = aBase;
  record.text = aText;
  return record;
}

ConfigRecord
switchTo(const std::string& aPreset, std::uint64_t aBase)
{
  ConfigRecord record;
  record.operation = ConfigOperation::Switch;
  record.key = { aPreset, {} };
  record.base = aBase;
  return record;
}

ConfigRecord
snapshot(const std::string& aPreset, std::uint64_t aVersion, const std::string& aText)
{
  ConfigRecord record = publish(aPreset, 0, aText);
  record.operation = ConfigOperation::SectionSnapshot;
  record.version = aVersion;
  return record;
}

/** A replay with presets a (version 1) and b (version 2); a is active (version 3). */
Replay
replayWithTwoPresets()
{
  Replay replay{ RejectBadText{} };
  REQUIRE(replay.apply(publish("a", 0), 0) == ConfigVerdict::Accepted);
  REQUIRE(replay.apply(publish("b", 0), 1) == ConfigVerdict::Accepted);
  REQUIRE(replay.apply(switchTo("a", 0), 2) == ConfigVerdict::Accepted);
  return replay;
}

} // namespace

TEST_CASE("of two switches with the same base the first on the log is accepted")
{
  auto replay = replayWithTwoPresets();
  CHECK(replay.apply(switchTo("b", 3), 3) == ConfigVerdict::Accepted);
  CHECK(replay.apply(switchTo("a", 3), 4) == ConfigVerdict::StaleBase);
  CHECK(replay.state().activePreset == "b");
  CHECK(replay.state().activeVersion() == 4);
}

TEST_CASE("of two publications with the same base the first on the log is accepted")
{
  auto replay = replayWithTwoPresets();
  CHECK(replay.apply(publish("a", 1, "mine"), 3) == ConfigVerdict::Accepted);
  CHECK(replay.apply(publish("a", 1, "yours"), 4) == ConfigVerdict::StaleBase);
  CHECK(replay.state().sections.at({ "a", kGeneralSection }).text == "mine");
  CHECK(replay.state().activeVersion() == 4);
}

TEST_CASE("an unknown preset or an invalid section is rejected")
{
  auto replay = replayWithTwoPresets();
  CHECK(replay.apply(switchTo("c", 3), 3) == ConfigVerdict::Invalid);
  CHECK(replay.apply(publish("a", 1, "bad"), 4) == ConfigVerdict::Invalid);
  CHECK(replay.state().activePreset == "a");
  CHECK(replay.state().activeVersion() == 3);
}

TEST_CASE("a late snapshot of an older version is ignored")
{
  auto replay = replayWithTwoPresets();
  REQUIRE(replay.apply(publish("a", 1, "new"), 3) == ConfigVerdict::Accepted);
  CHECK(replay.apply(snapshot("a", 1, "old"), 4) == ConfigVerdict::Known);
  CHECK(replay.state().sections.at({ "a", kGeneralSection }).text == "new");
}

TEST_CASE("a reader that starts late restores expired records from snapshots")
{
  Replay replay{ RejectBadText{} };
  CHECK(replay.apply(snapshot("a", 1, "x"), 10) == ConfigVerdict::Accepted);
  ConfigRecord switchSnapshot = switchTo("a", 0);
  switchSnapshot.operation = ConfigOperation::SwitchSnapshot;
  switchSnapshot.version = 3;
  CHECK(replay.apply(switchSnapshot, 11) == ConfigVerdict::Accepted);
  // It reaches the same verdict as readers that replayed the original records.
  CHECK(replay.apply(publish("a", 1, "y"), 12) == ConfigVerdict::Accepted);
  CHECK(replay.state().activePreset == "a");
  CHECK(replay.state().activeVersion() == 13);
}

TEST_CASE("records that a merged peer state includes are not applied again")
{
  const auto peer = replayWithTwoPresets();
  Replay replay{ RejectBadText{} };
  replay.merge(peer.state());
  CHECK(replay.state().activeVersion() == 3);
  CHECK(replay.apply(publish("a", 0), 0) == ConfigVerdict::Known);
  CHECK(replay.apply(switchTo("a", 0), 2) == ConfigVerdict::Known);
  CHECK(replay.apply(switchTo("b", 3), 3) == ConfigVerdict::Accepted);
  // Merging an older state later changes nothing.
  replay.merge(peer.state());
  CHECK(replay.state().activePreset == "b");
}
