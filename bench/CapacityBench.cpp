#include "ProcessCost.h"
#include "TestSystem.h"
#include "Wait.h"
#include <QCoreApplication>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <core/WallClock.h>
#include <cstdio>
#include <messages/ClaimRecord.h>
#include <messages/ConfigRecordMessage.h>

// bench-capacity: the slopes of state, processor time and received bytes that
// docs/CAPACITY.md is worked out from, each at three sizes, on one VM's processes.

using namespace masticwall;
using namespace masticwall::bench;
using namespace masticwall::test;

namespace {

constexpr int kUpstreamsInService = 7; ///< 24,000 workers in 3,400 services

std::unique_ptr<TestSystem>
startSystem(int aVms)
{
  SystemPlan plan;
  plan.vms = aVms;
  plan.services = { { "lookup", 1, 4 } };
  plan.preset = "name = \"test\"\n[measuring]\nprobes_per_second = 0.0\n"
                "[[service]]\nname = \"lookup\"\n[[service.route]]\nmethod = \"GET\"\n"
                "path = \"/lookup\"\n";
  auto system = std::make_unique<TestSystem>(plan);
  if (!system->start()) {
    std::printf("the system did not start\n");
    std::exit(1);
  }
  return system;
}

void
print(const char* aWhat, int aSize, const ProcessCost& aBefore, const ProcessCost& aAfter)
{
  std::printf("%-34s n=%6d  processor %8.3f s  resident %+7.1f MiB (now %6.1f)  "
              "received %9.1f KiB\n",
              aWhat,
              aSize,
              aAfter.processorSeconds - aBefore.processorSeconds,
              aAfter.residentMiB - aBefore.residentMiB,
              aAfter.residentMiB,
              aAfter.receivedKiB - aBefore.receivedKiB);
  std::fflush(stdout);
}

std::string
makeList(const TestSystem& aSystem, int aUpstreams, int aChange)
{
  auto list = QJsonDocument::fromJson(aSystem.vmListFor(0))
                .object()[QStringLiteral("vms")]
                .toArray();
  for (int i = 0; i < aUpstreams; ++i) {
    list.append(QJsonObject{
      { QStringLiteral("name"), QStringLiteral("worker-%1").arg(i) },
      { QStringLiteral("role"), QStringLiteral("upstream") },
      { QStringLiteral("service"),
        QStringLiteral("service-%1").arg(i / kUpstreamsInService) },
      { QStringLiteral("region"), QStringLiteral("sertao") },
      { QStringLiteral("data_centre"), QStringLiteral("sertao-a") },
      { QStringLiteral("host"), QStringLiteral("127.0.0.9") },
      { QStringLiteral("port"), 9 },
      { QStringLiteral("instance"), QString::number(i == 0 ? aChange : 1) } });
  }
  return QJsonDocument(QJsonObject{ { QStringLiteral("vms"), list } })
    .toJson(QJsonDocument::Compact)
    .toStdString();
}

/** The VM list: state of its size, and the cost of a second in which it changes. */
void
measureVmList()
{
  constexpr int kSeconds = 5;
  for (const int n : { 500, 2000, 8000 }) {
    const auto system = startSystem(1);
    const auto controlBefore = ProcessCost::of(system->control(0).pid());
    const auto entryBefore = ProcessCost::of(system->entry(0).pid());
    system->putVmList(makeList(*system, n, 1));
    waitUntil([&] {
      return system->controlState(0)[QStringLiteral("vms")].toArray().size() > n;
    });
    runEventsFor(1500);
    print("VM list, control: state",
          n,
          controlBefore,
          ProcessCost::of(system->control(0).pid()));
    print(
      "VM list, entry: state", n, entryBefore, ProcessCost::of(system->entry(0).pid()));
    const auto control = ProcessCost::of(system->control(0).pid());
    const auto entry = ProcessCost::of(system->entry(0).pid());
    runEventsFor(kSeconds * 1000);
    print("VM list, control: 5 s unchanged",
          n,
          control,
          ProcessCost::of(system->control(0).pid()));
    print(
      "VM list, entry: 5 s unchanged", n, entry, ProcessCost::of(system->entry(0).pid()));
    const auto controlThen = ProcessCost::of(system->control(0).pid());
    const auto entryThen = ProcessCost::of(system->entry(0).pid());
    for (int i = 0; i < kSeconds; ++i) {
      system->putVmList(makeList(*system, n, 2 + i));
      runEventsFor(1000);
    }
    print("VM list, control: 5 changes",
          n,
          controlThen,
          ProcessCost::of(system->control(0).pid()));
    print(
      "VM list, entry: 5 changes", n, entryThen, ProcessCost::of(system->entry(0).pid()));
  }
}

ConfigRecord
makeSection(int aService, std::uint64_t aBase, int aDeadlineMs)
{
  const auto name = "service-" + std::to_string(aService);
  ConfigRecord record;
  record.id = name + '-' + std::to_string(aDeadlineMs);
  record.key = { "test", kServiceSectionPrefix + name };
  record.base = aBase;
  record.writtenAtMs = wallClockMs();
  record.text = "[[service]]\nname = \"" + name +
                "\"\n[[service.route]]\nmethod = \"GET\"\n" + "path = \"/" + name +
                "\"\ndeadline_ms = " + std::to_string(aDeadlineMs) + "\n";
  return record;
}

qint64
configVersion(TestSystem& aSystem)
{
  return aSystem.controlState(0)[QStringLiteral("configVersion")].toInteger();
}

/** The configuration: state of n services, and the cost of 20 changes of one section. */
void
measureConfig()
{
  constexpr int kChanges = 20;
  for (const int n : { 50, 200, 800 }) {
    const auto system = startSystem(1);
    const auto first = configVersion(*system);
    const auto controlBefore = ProcessCost::of(system->control(0).pid());
    const auto entryBefore = ProcessCost::of(system->entry(0).pid());
    for (int i = 0; i < n; ++i) {
      system->appendConfig(encode(makeSection(i, 0, 1000)).toStdString());
    }
    waitUntil([&] { return configVersion(*system) >= first + n; }, 120'000);
    runEventsFor(500);
    print("config, control: state",
          n,
          controlBefore,
          ProcessCost::of(system->control(0).pid()));
    print(
      "config, entry: state", n, entryBefore, ProcessCost::of(system->entry(0).pid()));
    const auto control = ProcessCost::of(system->control(0).pid());
    const auto entry = ProcessCost::of(system->entry(0).pid());
    auto base = static_cast<std::uint64_t>(first) + 1;
    for (int i = 0; i < kChanges; ++i) {
      system->appendConfig(encode(makeSection(0, base, 1001 + i)).toStdString());
      base = static_cast<std::uint64_t>(first + n + i) + 1;
    }
    waitUntil([&] { return configVersion(*system) >= first + n + kChanges; }, 120'000);
    runEventsFor(500);
    print("config, control: 20 changes",
          n,
          control,
          ProcessCost::of(system->control(0).pid()));
    print("config, entry: 20 changes", n, entry, ProcessCost::of(system->entry(0).pid()));
  }
}

/** Claims: the cost of replaying n of them, and the state that they leave. */
void
measureClaims()
{
  constexpr int kInRecord = 100;
  for (const int n : { 5000, 20'000, 80'000 }) {
    const auto system = startSystem(1);
    const auto before = ProcessCost::of(system->control(0).pid());
    for (int i = 0; i < n; i += kInRecord) {
      ClaimRecord record;
      for (int j = 0; j < kInRecord; ++j) {
        Claim claim;
        claim.id = { "vm-9", 1, static_cast<std::uint64_t>(i + j) };
        const auto number = i + j;
        std::memcpy(claim.key.bytes.data(), &number, sizeof number);
        claim.madeAtMs = wallClockMs();
        record.claims.push_back(claim);
      }
      system->appendClaims(encode(record).toStdString());
    }
    waitUntil(
      [&] { return system->controlState(0)[QStringLiteral("claims")].toInteger() >= n; },
      120'000);
    print("claims, control", n, before, ProcessCost::of(system->control(0).pid()));
  }
}

/** Peers: what a control process costs in 10 idle seconds among n VMs. */
void
measurePeers()
{
  constexpr int kSeconds = 10;
  for (const int n : { 2, 4, 8 }) {
    const auto system = startSystem(n);
    const auto control = ProcessCost::of(system->control(0).pid());
    const auto entry = ProcessCost::of(system->entry(0).pid());
    runEventsFor(kSeconds * 1000);
    print(
      "peers, control: 10 s idle", n, control, ProcessCost::of(system->control(0).pid()));
    print("peers, entry: 10 s idle", n, entry, ProcessCost::of(system->entry(0).pid()));
  }
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  QCoreApplication app(aArgc, aArgv);
  measurePeers();
  measureClaims();
  measureConfig();
  measureVmList();
  return 0;
}
