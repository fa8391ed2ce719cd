#include "TestSystem.h"
#include "Wait.h"
#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <catch2/catch.hpp>
#include <csignal>

using namespace masticwall;
using namespace masticwall::test;

namespace {

/** From the letter: an accepted configuration is in force everywhere within this. */
constexpr int kInForceMs = 6000;

QJsonObject
json(const CtlResult& aResult)
{
  return QJsonDocument::fromJson(aResult.output.toUtf8()).object();
}

/** Publishes the plan's preset under another name. */
int
publishAs(TestSystem& aSystem, const QString& aName)
{
  QFile file(aSystem.filePath(aName + QStringLiteral(".toml")));
  REQUIRE(file.open(QIODevice::WriteOnly | QIODevice::Truncate));
  auto text = QString::fromStdString(aSystem.presetText());
  text.replace(QStringLiteral("name = \"test\""),
               QStringLiteral("name = \"%1\"").arg(aName));
  file.write(text.toUtf8());
  file.close();
  return aSystem.ctl({ QStringLiteral("publish"), file.fileName() }).exitCode;
}

CtlResult
switchTo(TestSystem& aSystem, const QString& aName)
{
  return aSystem.ctl({ QStringLiteral("--json"), QStringLiteral("switch"), aName });
}

bool
isInForce(TestSystem& aSystem, int aVm, const QString& aPreset, qint64 aVersion)
{
  const auto state = aSystem.entryState(aVm);
  return state[QStringLiteral("preset")].toString() == aPreset &&
         state[QStringLiteral("version")].toInteger() == aVersion;
}

} // namespace

TEST_CASE("a switch is in force on every VM in time, and a lost answer changes nothing")
{
  TestSystem system({});
  REQUIRE(system.start());
  REQUIRE(publishAs(system, QStringLiteral("peak")) == 0);
  for (const auto* const query : { "lose_answers=0", "lose_answers=1" }) {
    system.setLog(query);
    const auto preset =
      query[13] == '0' ? QStringLiteral("peak") : QStringLiteral("test");
    const auto result = switchTo(system, preset);
    REQUIRE(result.exitCode == 0);
    const auto version = json(result)[QStringLiteral("version")].toInteger();
    CHECK(waitUntil(
      [&] {
        return isInForce(system, 0, preset, version) &&
               isInForce(system, 1, preset, version);
      },
      kInForceMs));
  }
}

TEST_CASE("of operators that switch at the same moment one wins and the other is told")
{
  TestSystem system({});
  REQUIRE(system.start());
  const QStringList names{ QStringLiteral("a"), QStringLiteral("b") };
  for (const auto& it : names) {
    REQUIRE(publishAs(system, it) == 0);
  }
  int voids = 0;
  for (int round = 0; round < 5; ++round) {
    // A slow log makes both look before either writes.
    system.setLog("delay_ms=100");
    std::vector<CtlResult> results(2);
    system.ctlBoth({ QStringLiteral("--json"), QStringLiteral("switch"), names[0] },
                   { QStringLiteral("--json"), QStringLiteral("switch"), names[1] },
                   results);
    system.setLog("delay_ms=0");
    int accepted = 0;
    qint64 newest = 0;
    QString winner;
    for (std::size_t i = 0; i < results.size(); ++i) {
      CHECK((results[i].exitCode == 0 || results[i].exitCode == 3));
      voids += results[i].exitCode == 3 ? 1 : 0;
      accepted += results[i].exitCode == 0 ? 1 : 0;
      const auto version = json(results[i])[QStringLiteral("version")].toInteger();
      if (results[i].exitCode == 0 && version > newest) {
        newest = version;
        winner = names[static_cast<qsizetype>(i)];
      }
    }
    REQUIRE(accepted >= 1);
    CHECK(waitUntil(
      [&] {
        return isInForce(system, 0, winner, newest) &&
               isInForce(system, 1, winner, newest);
      },
      kInForceMs));
  }
  CHECK(voids > 0);
}

TEST_CASE("a VM paused across three switches goes to the newest and never back")
{
  TestSystem system({});
  REQUIRE(system.start());
  const QStringList names{ QStringLiteral("a"),
                           QStringLiteral("b"),
                           QStringLiteral("c") };
  for (const auto& it : names) {
    REQUIRE(publishAs(system, it) == 0);
  }
  system.control(1).signal(SIGSTOP);
  system.entry(1).signal(SIGSTOP);
  qint64 version = 0;
  for (const auto& it : names) {
    const auto result = switchTo(system, it);
    REQUIRE(result.exitCode == 0);
    version = json(result)[QStringLiteral("version")].toInteger();
  }
  system.control(1).signal(SIGCONT);
  system.entry(1).signal(SIGCONT);
  qint64 last = 0;
  bool isReverted = false;
  CHECK(waitUntil(
    [&] {
      const auto now = system.entryState(1)[QStringLiteral("version")].toInteger();
      isReverted = isReverted || now < last;
      last = now;
      return now == version;
    },
    kInForceMs));
  CHECK_FALSE(isReverted);
  CHECK(isInForce(system, 1, names.last(), version));
}

TEST_CASE("a fresh VM starts from its peers while the log is down")
{
  for (const auto* const fault : { "hang=1", "refuse=1" }) {
    TestSystem system({});
    REQUIRE(system.start());
    const auto version = system.entryState(0)[QStringLiteral("version")].toInteger();
    system.setLog(fault);
    system.killVm(1);
    REQUIRE(system.replaceVm(1));
    CHECK(
      waitUntil([&] { return isInForce(system, 1, QStringLiteral("test"), version); }));
    const auto lookup = system.call(1, makeRequest("GET", "/lookup/1"));
    REQUIRE(lookup.has_value());
    CHECK(outcomeOf(*lookup) == "answered");
    // It has not read the claims, so it takes no orders.
    const auto order =
      system.call(1, makeRequest("POST", "/orders", { { "Idempotency-Key", "k" } }, "x"));
    REQUIRE(order.has_value());
    CHECK(outcomeOf(*order) == "not-run");
  }
}

TEST_CASE("records are repeated before they expire, so that a fresh VM finds them")
{
  SystemPlan plan;
  plan.logRetentionMs = 3000;
  TestSystem system(plan);
  REQUIRE(system.start());
  const auto version = system.entryState(0)[QStringLiteral("version")].toInteger();
  // Until every record of the start has expired, the switch's with them.
  REQUIRE(waitUntil([&] { return system.firstConfigOffset() >= version; }));
  system.killVm(0);
  system.killVm(1);
  REQUIRE(system.replaceVm(1));
  CHECK(waitUntil([&] { return isInForce(system, 1, QStringLiteral("test"), version); }));
}

TEST_CASE("a record that can't be read is skipped by all, and the log goes on")
{
  TestSystem system({});
  REQUIRE(system.start());
  system.appendConfig("this is not a record");
  REQUIRE(publishAs(system, QStringLiteral("next")) == 0);
  const auto result = switchTo(system, QStringLiteral("next"));
  REQUIRE(result.exitCode == 0);
  const auto version = json(result)[QStringLiteral("version")].toInteger();
  for (const int vm : { 0, 1 }) {
    CHECK(
      waitUntil([&] { return isInForce(system, vm, QStringLiteral("next"), version); }));
  }
}

TEST_CASE("an invalid preset is refused with every problem and loses nothing")
{
  TestSystem system({});
  REQUIRE(system.start());
  QFile file(system.filePath(QStringLiteral("bad.toml")));
  REQUIRE(file.open(QIODevice::WriteOnly));
  file.write("name = \"bad\"\ncolour = 1\n[limits]\nqueue_length = 0\n");
  file.close();
  const auto result = system.ctl({ QStringLiteral("publish"), file.fileName() });
  CHECK(result.exitCode == 2);
  CHECK(result.error.contains(QStringLiteral(":2: colour")));
  CHECK(result.error.contains(QStringLiteral(":4: limits.queue_length")));
  CHECK(switchTo(system, QStringLiteral("bad")).exitCode == 2);
  const auto lookup = system.call(0, makeRequest("GET", "/lookup/1"));
  REQUIRE(lookup.has_value());
  CHECK(outcomeOf(*lookup) == "answered");
}

TEST_CASE("status is right with one VM paused and one killed")
{
  SystemPlan plan;
  plan.vms = 3;
  TestSystem system(plan);
  REQUIRE(system.start());
  CHECK(system.ctl({ QStringLiteral("status") }).exitCode == 0);
  system.control(1).signal(SIGSTOP);
  system.control(2).kill();
  const auto result = system.ctl({ QStringLiteral("--json"), QStringLiteral("status") });
  CHECK(result.exitCode == 4);
  const auto vms = json(result)[QStringLiteral("vms")].toArray();
  REQUIRE(vms.size() == 3);
  CHECK(vms[0].toObject()[QStringLiteral("answering")].toBool());
  CHECK_FALSE(vms[1].toObject()[QStringLiteral("answering")].toBool());
  CHECK_FALSE(vms[2].toObject()[QStringLiteral("answering")].toBool());
  system.control(1).signal(SIGCONT);
}
