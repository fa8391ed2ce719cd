#include "TestSystem.h"
#include "Wait.h"
#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <catch2/catch.hpp>

using namespace masticwall;
using namespace masticwall::test;

namespace {

QJsonObject
json(const CtlResult& aResult)
{
  return QJsonDocument::fromJson(aResult.output.toUtf8()).object();
}

QString
text(const char* aText)
{
  return QString::fromUtf8(aText);
}

} // namespace

TEST_CASE("each command of masticwallctl does what it says")
{
  TestSystem system({});
  REQUIRE(system.start());
  const auto file = system.filePath(text("preset.toml"));

  const auto check = system.ctl({ text("check"), file });
  CHECK(check.exitCode == 0);
  CHECK(check.output.contains(text("valid preset \"test\"")));

  // Published by the start already: nothing differs.
  const auto publish = system.ctl({ text("--json"), text("publish"), file });
  CHECK(publish.exitCode == 0);
  CHECK(json(publish)[text("sections")].toInt(-1) == 0);

  const auto presets = system.ctl({ text("presets") });
  CHECK(presets.exitCode == 0);
  CHECK(presets.output.contains(text("test (in force)")));

  const auto history = system.ctl({ text("--json"), text("history") });
  CHECK(history.exitCode == 0);
  const auto records = json(history)[text("records")].toArray();
  REQUIRE(records.size() == 4);
  CHECK(records.last().toObject()[text("operation")] == text("switch"));
  CHECK(records.last().toObject()[text("verdict")] == text("accepted"));

  const auto status = system.ctl({ text("status") });
  CHECK(status.exitCode == 0);
  CHECK(status.output.contains(text("vm-0 version=4 preset=test current")));
  CHECK(status.output.contains(text("vm-1 version=4 preset=test current")));

  const auto wait = system.ctl({ text("wait"), text("4") });
  CHECK(wait.exitCode == 0);
  CHECK(wait.output.contains(text("2 of 2 VMs at version 4")));
  CHECK(system.ctl({ text("--timeout-ms"), text("300"), text("wait"), text("999") })
          .exitCode == 4);

  const auto state = system.ctl({ text("state"), text("vm-1") });
  CHECK(state.exitCode == 0);
  CHECK(json(state)[text("vm")] == text("vm-1"));
}

TEST_CASE("masticwallctl says what is wrong and what to do, with its exit code")
{
  TestSystem system({});
  REQUIRE(system.start());
  CHECK(system.ctl({ text("state"), text("vm-9") }).exitCode == 2);
  CHECK(system.ctl({ text("check"), text("/nowhere") }).exitCode == 2);
  CHECK(system.ctl({ text("switch"), text("nowhere") }).exitCode == 2);
  CHECK(system.ctl({ text("nonsense") }).exitCode == 2);
  system.setLog("refuse=1");
  const auto unreachable =
    system.ctl({ text("--timeout-ms"), text("300"), text("switch"), text("test") });
  CHECK(unreachable.exitCode == 1);
  CHECK(unreachable.error.contains(text("the log service does not answer")));
}

TEST_CASE("every wrong setting of a daemon is reported at once, with exit code 2")
{
  for (const auto* const daemon : { "masticwall-entry", "masticwall-control" }) {
    ChildProcess process(text(daemon),
                         { text("--port"), text("0"), text("--host"), text("nowhere") });
    CHECK(process.waitForEnd() == 2);
    const auto error = process.standardError();
    CHECK(error.contains(text("--port (MASTICWALL_PORT) is \"0\"; expected an integer")));
    CHECK(error.contains(
      text("--host (MASTICWALL_HOST) is \"nowhere\"; expected an IP number")));
    CHECK(
      error.contains(text("--vm (MASTICWALL_VM) is \"\"; expected a non-empty text")));
  }
}

TEST_CASE(
  "daemons check their settings, take them from the environment, and tell a version")
{
  const QStringList names{
    text("VM"), text("REGION"), text("DATA_CENTRE"), text("INSTANCE")
  };
  for (const auto& it : names) {
    qputenv(QByteArray("MASTICWALL_") + it.toLatin1(), "x");
  }
  for (const auto* const daemon : { "masticwall-entry", "masticwall-control" }) {
    ChildProcess check(text(daemon), { text("--check") });
    CHECK(check.waitForEnd() == 0);
    CHECK(check.standardOutput().contains(text("settings are valid")));
    ChildProcess version(text(daemon), { text("--version") });
    CHECK(version.waitForEnd() == 0);
    CHECK(version.standardOutput().startsWith(text(daemon)));
    ChildProcess help(text(daemon), { text("--help") });
    CHECK(help.waitForEnd() == 0);
    CHECK(help.standardOutput().contains(text("MASTICWALL_HOST")));
  }
  for (const auto& it : names) {
    qunsetenv(QByteArray("MASTICWALL_") + it.toLatin1());
  }
}

TEST_CASE("state and metrics pages show what the process did")
{
  TestSystem system({});
  REQUIRE(system.start());
  for (int i = 0; i < 5; ++i) {
    REQUIRE(
      system.call(0, makeRequest("GET", "/lookup/" + std::to_string(i))).has_value());
  }
  REQUIRE(
    system.call(0, makeRequest("POST", "/orders", { { "Idempotency-Key", "a" } }, "a"))
      .has_value());
  const auto state = system.entryState(0);
  const auto calls = state[text("calls")].toObject();
  CHECK(calls[text("standard")].toObject()[text("counts")].toObject()[text("answered")] ==
        5);
  CHECK(calls[text("urgent")].toObject()[text("counts")].toObject()[text("answered")] ==
        1);
  CHECK(state[text("orders")].toInt() == 1);
  CHECK(state[text("controlConnected")].toBool());
  const auto metrics = callOnce(system.vmHost(0), 8082, makeRequest("GET", "/metrics"));
  REQUIRE(metrics.has_value());
  CHECK(metrics->body.find(
          "masticwall_calls_total{rank=\"standard\",result=\"answered\"} 5") !=
        std::string::npos);
}

TEST_CASE("masticwallctl explains a request from the logs of several processes, in order")
{
  QTemporaryDir directory;
  const auto write = [&](const char* aName, const char* aLines) {
    QFile file(directory.filePath(text(aName)));
    REQUIRE(file.open(QIODevice::WriteOnly));
    file.write(aLines);
    return file.fileName();
  };
  const auto first = write("first",
                           "time=2026-12-04T10:00:02.000Z event=call-ended id=a1\n"
                           "time=2026-12-04T10:00:00.000Z event=call-ended id=a12\n");
  const auto second = write("second",
                            "time=2026-12-04T10:00:01.000Z event=upstream-failed id=a1\n"
                            "not a line of ours\n");
  ChildProcess process(text("masticwallctl"),
                       { text("explain"), text("a1"), first, second });
  CHECK(process.waitForEnd() == 0);
  CHECK(process.standardOutput() ==
        text("time=2026-12-04T10:00:01.000Z event=upstream-failed id=a1\n"
             "time=2026-12-04T10:00:02.000Z event=call-ended id=a1\n"));
  ChildProcess unknown(text("masticwallctl"), { text("explain"), text("b"), first });
  CHECK(unknown.waitForEnd() == 2);
  ChildProcess unreadable(text("masticwallctl"),
                          { text("explain"), text("a1"), text("/nowhere") });
  CHECK(unreadable.waitForEnd() == 2);
}

TEST_CASE("the gateway reports settings that it can't use, with exit code 2")
{
  ChildProcess none(text("masticwall-gateway"), {});
  CHECK(none.waitForEnd() == 2);
  ChildProcess missing(text("masticwall-gateway"),
                       { text("--settings"), text("/nowhere") });
  CHECK(missing.waitForEnd() == 2);
  CHECK(missing.standardError().contains(text("settings-missing")));
}
