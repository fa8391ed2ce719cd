// Two zones with ten machines each: nine with 0.5 of a core and one with 0.1. In the
// disruption, the larger machines are stopped in turn and leave for good; then the
// platform's store is down several times, and after each return a new version moves a
// route of orders to another service. Checks CONFIG: an order that a machine in touch
// gets later than `config` after the acknowledgement is not run by the old service.
#include "../common/standin.hpp"

using namespace review;

namespace {

constexpr int kLargePerZone = 9;
constexpr double kRemoveGapMs = 1'000;
constexpr int kGraceMs = 6'000;
constexpr int kOutages = 9;
constexpr double kOutageMs = 1'000;
constexpr double kObserveMs = 6'500;
constexpr double kConfigMs = 2'000;
constexpr double kStabilityWindowMs = 3'000;
/** Between the store's return and the new version. */
constexpr double kChangeDelayMs = 50;
constexpr int kDeadlineMs = 800;

struct Change
{
  std::int64_t ackUs = 0;
  std::int64_t inTouchFromUs = 0; ///< the stability window after the store's return
  std::string service;
};
std::mutex mutex;
std::vector<Change> changes;
struct Order
{
  std::string id;
  std::string gateway;
  std::int64_t sentUs = 0;
  int status = 0;
};
std::vector<Order> orders;
std::atomic<bool> isOver{ false };
int version = 7;

void
putConfig(const std::string& aService, double aInTouchInMs)
{
  auto& system = System::get();
  RouteRow route;
  route.host = "hulo84.example";
  route.prefix = "/xapu221/ny95/";
  route.kind = "unsafe";
  route.timeoutMs = 800;
  route.targetMs = 250;
  route.service = aService;
  system.store.put(
    "keyed.op", "config", makeConfig(version, { route }, { "huvo11a", "kafi81c" }));
  std::scoped_lock lock(mutex);
  const auto now = nowUs();
  changes.push_back({ now, now + std::int64_t(aInTouchInMs * 1000), aService });
  RECORD("version %d acknowledged: the route goes to %s", version, aService.c_str());
  version += 4;
}

void
runClient(const Gateway& aGateway)
{
  while (!isOver) {
    Order it;
    it.id = newRequestId();
    it.gateway = aGateway.name;
    it.sentUs = nowUs();
    it.status = callOnce(aGateway.front(),
                         "POST",
                         "hulo84.example",
                         "/xapu221/ny95/2f",
                         it.id,
                         kDeadlineMs,
                         "order " + it.id)
                  .status();
    {
      std::scoped_lock lock(mutex);
      orders.push_back(it);
    }
    sleepMs(60);
  }
}

} // namespace

int
main(int, char** argv)
{
  auto& system = System::get();
  system.begin(argv[1]);
  for (int i = 0; i < 8; ++i) {
    auto& worker = system.addWorker(i % 2 == 0 ? "huvo11a" : "kafi81c",
                                    i < 4 ? "petrolina" : "recife");
    worker.workMs = 30;
  }
  system.startWorkers();
  std::map<std::string, std::string> serviceOf;
  for (const auto& it : system.workers) {
    serviceOf[it->id] = it->service;
  }
  putConfig("huvo11a", 0);
  system.addGateways(1, "petrolina", "sertao", 0.1);
  system.addGateways(1, "recife", "litoral", 0.1);
  system.addGateways(kLargePerZone, "petrolina", "sertao", 0.5);
  system.addGateways(kLargePerZone, "recife", "litoral", 0.5);
  for (auto& it : system.gateways) {
    system.start(it);
  }
  for (auto& it : system.gateways) {
    system.waitReady(it);
  }
  sleepMs(2'000);
  std::vector<std::thread> clients;
  for (int i = 0; i < 2; ++i) {
    clients.emplace_back(runClient, std::cref(system.gateways[std::size_t(i)]));
    clients.emplace_back(runClient, std::cref(system.gateways[std::size_t(i)]));
  }
  std::vector<std::thread> removals;
  for (std::size_t i = 2; i < system.gateways.size() && hasTrouble(); ++i) {
    removals.emplace_back([&system, i] {
      system.kill(system.gateways[i], SIGTERM);
      system.reap(system.gateways[i], kGraceMs);
    });
    sleepMs(kRemoveGapMs);
  }
  for (auto& it : removals) {
    it.join();
  }
  sleepMs(kStabilityWindowMs + 1'000);
  for (int i = 0; i < kOutages; ++i) {
    if (hasTrouble()) {
      RECORD("the store is down");
      system.store.isDown = true;
      sleepMs(kOutageMs);
      system.store.isDown = false;
      RECORD("the store is back");
    }
    sleepMs(kChangeDelayMs);
    putConfig(i % 2 == 0 ? "kafi81c" : "huvo11a",
              hasTrouble() ? kStabilityWindowMs - kChangeDelayMs : 0);
    sleepMs(kObserveMs);
  }
  isOver = true;
  for (auto& it : clients) {
    it.join();
  }
  sleepMs(500);

  const auto runs = system.takeRuns();
  int served = 0;
  int late = 0;
  double worstMs = 0;
  std::set<std::string> cases;
  for (const auto& it : orders) {
    served += it.status == 200 ? 1 : 0;
    const auto run = runs.find(it.id);
    if (run == runs.end()) {
      continue;
    }
    for (const auto& each : run->second) {
      // The newest version that the request had to obey, and those that came after it.
      const Change* bound = &changes.front();
      std::set<std::string> allowed;
      for (const auto& change : changes) {
        const auto from =
          std::max(change.ackUs + std::int64_t(kConfigMs * 1000), change.inTouchFromUs);
        if (it.sentUs > from) {
          bound = &change;
          allowed.clear();
        }
        if (change.ackUs <= each.atUs) {
          allowed.insert(change.service);
        }
      }
      if (allowed.count(serviceOf[each.worker]) == 0) {
        ++late;
        const auto ms = double(it.sentUs - bound->ackUs) / 1000.0;
        worstMs = std::max(worstMs, ms);
        cases.insert(it.gateway + "/" + std::to_string(bound - changes.data()));
        RECORD("CONFIG: %s at %s, sent %.0f ms after the acknowledgement, run by a "
               "worker of %s",
               it.id.c_str(),
               it.gateway.c_str(),
               ms,
               serviceOf[each.worker].c_str());
      }
    }
  }
  RECORD("%zu orders, %d served, %d run by the old service too late, in %zu cases of a "
         "machine and a version, up to %.0f ms after the acknowledgement",
         orders.size(),
         served,
         late,
         cases.size(),
         worstMs);
  printf("%zu orders, %d served, %d too late in %zu cases, up to %.0f ms\n",
         orders.size(),
         served,
         late,
         cases.size(),
         worstMs);
  if (served < int(orders.size()) / 2) {
    cannotRun("less than half of the orders was served");
  }
  system.end(late > 0 ? 1 : 0);
}
