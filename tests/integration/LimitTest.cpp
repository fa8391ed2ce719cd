#include "LookupRun.h"
#include "Wait.h"
#include "WindowedCount.h"
#include <QTcpServer>
#include <QUrl>
#include <catch2/catch.hpp>
#include <csignal>

using namespace masticwall;
using namespace masticwall::test;

// Upstreams that state with their responses how many requests a second they take from all
// VMs together.

namespace {

constexpr double kLimit = 5.0;
constexpr auto kStabilityWindow = std::chrono::seconds(3);
constexpr auto kWindow = std::chrono::seconds(4);

/** The requests that an upstream may get within kWindow. */
constexpr int kMaxInWindow = 35;

/** Of all requests that have reached an upstream. */
WindowedCount
requestsOf(GatewaySystem& aSystem, int aUpstream)
{
  return { [&aSystem, aUpstream] { return aSystem.ledgerOf(aUpstream).requests(); },
           kWindow };
}

void
setLimit(GatewaySystem& aSystem, int aUpstream, const std::string& aText)
{
  aSystem.setUpstream(aUpstream, "server_limit=" + aText);
}

constexpr quint16 kPeerPort = 8382;

/** Lists VMs that accept connections and never reply, or takes them off the list. */
void
listSilentVms(GatewaySystem& aSystem, int aVms, bool aIsListed)
{
  for (int i = 0; i < aVms; ++i) {
    const auto host = aSystem.host(200 + i).toString().toStdString();
    aSystem.writeRecord(
      "keyed.members",
      "silent-" + std::to_string(i),
      aIsListed ? R"({"host":")" + host + R"(","port":)" + std::to_string(kPeerPort) +
                    R"(,"data_centre":"recife","region":"litoral","capacity":1})"
                : "");
  }
}

bool
countsEntries(GatewaySystem& aSystem, int aEntries)
{
  const auto text = "masticwall_entries " + std::to_string(aEntries) + '\n';
  return aSystem.metrics(0).find(text) != std::string::npos;
}

} // namespace

TEST_CASE("an upstream gets no more requests than it takes from all VMs together")
{
  GatewaySystem system(3, 4);
  REQUIRE(system.start());
  setLimit(system, 0, "5");
  sendLookups(system, { 0, 1, 2 }, kStabilityWindow);
  auto requests = requestsOf(system, 0);
  const auto sample = [&] { requests.sample(); };
  auto counts = sendLookups(system, { 0, 1, 2 }, std::chrono::seconds(5), sample);
  CHECK(counts.refused + counts.other == 0); // the others have room
  system.writeConfig(5);
  system.gateway(0).signal(SIGHUP);
  counts = sendLookups(system, { 0, 1, 2 }, std::chrono::seconds(2), sample);
  CHECK(counts.refused + counts.other == 0);
  // A lull leaves no credit behind that would let each VM send one more at once.
  runEventsFor(3000);
  counts = sendLookups(system, { 0, 1, 2 }, std::chrono::seconds(5), sample);
  CHECK(counts.refused + counts.other == 0);
  CHECK(requests.max() <= kMaxInWindow);
}

TEST_CASE("calls beyond the limits of all upstreams are refused at once")
{
  GatewaySystem system(3, 2);
  REQUIRE(system.start());
  for (int i = 0; i < 2; ++i) {
    setLimit(system, i, "5");
  }
  sendLookups(system, { 0, 1, 2 }, kStabilityWindow);
  std::vector<WindowedCount> requests;
  requests.push_back(requestsOf(system, 0));
  requests.push_back(requestsOf(system, 1));
  constexpr int kSeconds = 8;
  const auto counts =
    sendLookups(system, { 0, 1, 2 }, std::chrono::seconds(kSeconds), [&] {
      for (auto& it : requests) {
        it.sample();
      }
    });
  CHECK(requests[0].max() <= kMaxInWindow);
  CHECK(requests[1].max() <= kMaxInWindow);
  CHECK(counts.served >= 0.9 * 2 * kLimit * kSeconds);
  CHECK(counts.refused > 0);
  CHECK(counts.other == 0);
  CHECK(counts.slowestRefusal < std::chrono::milliseconds(500));
  REQUIRE(waitUntil([&] {
    return system.explain("limited").contains(QStringLiteral("reason=limited"));
  }));
}

TEST_CASE("the limit of an upstream holds while a VM is killed and starts again")
{
  GatewaySystem system(3, 2);
  REQUIRE(system.start());
  for (int i = 0; i < 2; ++i) {
    setLimit(system, i, "5");
  }
  sendLookups(system, { 0, 1, 2 }, kStabilityWindow);
  auto requests = requestsOf(system, 0);
  const auto sample = [&] { requests.sample(); };
  system.gateway(1).kill();
  const auto counts = sendLookups(system, { 0, 2 }, std::chrono::seconds(5), sample);
  CHECK(counts.served >= 0.7 * 2 * kLimit * 5);
  system.startGateway(1);
  sendLookups(system, { 0, 2 }, std::chrono::seconds(5), sample);
  CHECK(requests.max() <= kMaxInWindow);
}

TEST_CASE("calls go on after VMs that did not reply are taken off the list")
{
  constexpr int kSilentVms = 6;
  constexpr int kRounds = 4;
  GatewaySystem system(1, 1);
  REQUIRE(system.start());
  std::vector<std::unique_ptr<QTcpServer>> silent;
  for (int i = 0; i < kSilentVms; ++i) {
    silent.push_back(std::make_unique<QTcpServer>());
    REQUIRE(silent.back()->listen(system.host(200 + i), kPeerPort));
  }
  setLimit(system, 0, "50");
  for (int round = 0; round < kRounds; ++round) {
    CAPTURE(round);
    listSilentVms(system, kSilentVms, true);
    REQUIRE(waitUntil([&] { return countsEntries(system, kSilentVms + 1); }));
    listSilentVms(system, kSilentVms, false);
    REQUIRE(waitUntil([&] {
      sendLookups(system, { 0 }, std::chrono::milliseconds(50));
      return countsEntries(system, 1);
    }));
    CHECK(waitUntil(
      [&] { return statusOf(system.call(0, "GET", "/read/1", "on")) == 200; }, 1500));
  }
}

TEST_CASE("an upstream whose limit has ended gets requests as before")
{
  GatewaySystem system(2, 1);
  REQUIRE(system.start());
  setLimit(system, 0, "5");
  sendLookups(system, { 0, 1 }, std::chrono::seconds(2));
  const auto limited = sendLookups(system, { 0, 1 }, std::chrono::seconds(2));
  CHECK(limited.refused > 0);
  setLimit(system, 0, "");
  sendLookups(system, { 0, 1 }, std::chrono::seconds(2));
  const auto counts = sendLookups(system, { 0, 1 }, std::chrono::seconds(2));
  CHECK(counts.refused + counts.other == 0);
}

TEST_CASE("a new instance on the address of a limited one starts without its limit")
{
  constexpr qint64 kLaterStartMs = 1'700'000'001'000;
  GatewaySystem system(1, 1);
  REQUIRE(system.start());
  setLimit(system, 0, "0");
  CHECK(waitUntil([&] {
    return sendLookups(system, { 0 }, std::chrono::milliseconds(200)).served == 0;
  }));
  setLimit(system, 0, "");
  system.listUpstream(0, "ready", kLaterStartMs);
  CHECK(waitUntil([&] {
    const auto counts = sendLookups(system, { 0 }, std::chrono::milliseconds(200));
    return counts.refused + counts.other == 0;
  }));
}

TEST_CASE("a limit that is no number is logged and ignored")
{
  GatewaySystem system(1, 1);
  REQUIRE(system.start());
  for (const auto* const it : { "few", "-5", "inf", "1e400" }) {
    CAPTURE(it);
    setLimit(system, 0, QUrl::toPercentEncoding(QString::fromLatin1(it)).toStdString());
    const auto counts = sendLookups(system, { 0 }, std::chrono::milliseconds(500));
    CHECK(counts.refused + counts.other == 0);
  }
  CHECK(system.metrics(0).find(R"(result="bad-server-limit")") != std::string::npos);
}
