// Orders (unsafe) through two gateways to ten workers. In the disruption, most workers
// send a second copy of some answers late, where the next answer on that connection is
// expected, and one worker's health path says 503 though it is well.
// Checks REFUSED: no order that was answered 408, 421, 429 or 503 has run.
#include "../common/standin.hpp"

using namespace review;

namespace {

constexpr int kWorkers = 10;
constexpr int kClients = 20;
/** Where the workers are; the gateways and the clients are in petrolina. */
constexpr const char* kZones[kWorkers] = { "petrolina", "petrolina", "recife",
                                           "recife",    "recife",    "juazeiro",
                                           "juazeiro",  "juazeiro",  "natal",
                                           "natal" };
constexpr double kCopiedAnswers = 0.03; ///< of the answers of a worker that sends copies
constexpr int kWorkersWithCopies = 6;   ///< 0.6 of the workers
constexpr int kEpisodes = 8;
constexpr double kCopiesMs = 5'000;
constexpr double kLieMs = 6'500;
constexpr double kEpisodePeriodMs = 8'000;
constexpr int kDeadlineMs = 800;

std::atomic<bool> sendsCopies{ false };
std::atomic<bool> isOver{ false };
std::atomic<int> copies{ 0 };

/** Late copies of answers, by worker and connection. */
std::mutex copyMutex;
std::map<std::pair<std::string, int>, std::string> pendingCopies;

void
addCopies(Worker& aWorker)
{
  aWorker.onOpen = [](Worker& aSelf, int aFd) {
    std::scoped_lock lock(copyMutex);
    pendingCopies.erase({ aSelf.id, aFd });
  };
  aWorker.onAnswered = [](Worker& aSelf, int aFd, const std::string& aResponse) {
    thread_local std::mt19937 random(std::random_device{}());
    if (sendsCopies && std::uniform_real_distribution<>(0, 1)(random) < kCopiedAnswers) {
      std::scoped_lock lock(copyMutex);
      pendingCopies[{ aSelf.id, aFd }] = aResponse;
    }
  };
  aWorker.onArrival = [](Worker& aSelf, int aFd, const Message& aRequest) {
    std::string copy;
    {
      std::scoped_lock lock(copyMutex);
      const auto it = pendingCopies.find({ aSelf.id, aFd });
      if (it == pendingCopies.end()) {
        return;
      }
      copy = it->second;
      pendingCopies.erase(it);
    }
    ++copies;
    RECORD("worker %s sends a late copy as %s arrives",
           aSelf.id.c_str(),
           aRequest.first.c_str());
    sendAll(aFd, copy);
  };
}

struct Sent
{
  std::string id;
  int status = 0;
};
std::mutex sentMutex;
std::vector<Sent> sent;

void
runClient(int aSeed)
{
  auto& system = System::get();
  std::mt19937 random(std::uint32_t(aSeed) + std::random_device{}());
  const std::string body(4000, 'o');
  while (!isOver) {
    const auto id = newRequestId();
    const auto& gateway = system.gateways[random() % system.gateways.size()];
    const auto answer = callOnce(gateway.front(),
                                 "POST",
                                 "hulo84.example",
                                 "/xapu221/ny95/2f",
                                 id,
                                 kDeadlineMs,
                                 body);
    {
      std::scoped_lock lock(sentMutex);
      sent.push_back({ id, answer.status() });
    }
    RECORD("order %s answered %d signature '%s' instance '%s'",
           id.c_str(),
           answer.status(),
           answer.message.header("Masticwall-Server-Signature").c_str(),
           answer.message.header("Masticwall-Instance-Id").c_str());
    sleepMs(double(random() % 100) + 100);
  }
}

} // namespace

int
main(int, char** argv)
{
  auto& system = System::get();
  system.begin(argv[1]);
  for (int i = 0; i < kWorkers; ++i) {
    auto& worker = system.addWorker("wuno96b", kZones[i]);
    worker.workMs = 78;
    worker.noiseShare = 0.25;
    worker.tellsLoad = false;
    if (i < kWorkersWithCopies) {
      addCopies(worker);
    }
  }
  system.startWorkers();
  RouteRow route;
  route.host = "hulo84.example";
  route.prefix = "/xapu221/ny95/";
  route.kind = "unsafe";
  route.service = "wuno96b";
  system.store.put("keyed.op", "config", makeConfig(7, { route }, { "wuno96b" }));
  system.addGateways(2, "petrolina", "sertao");
  for (auto& it : system.gateways) {
    system.start(it);
  }
  for (auto& it : system.gateways) {
    system.waitReady(it);
  }
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(runClient, i);
  }
  sleepMs(4'000);
  for (int i = 0; i < kEpisodes; ++i) {
    const bool isOn = hasTrouble();
    auto& liar = *system.workers[std::size_t(i % 2)];
    if (isOn) {
      RECORD("late copies begin; health of %s says 503", liar.id.c_str());
      sendsCopies = true;
      liar.healthStatus = 503;
    }
    sleepMs(kCopiesMs);
    sendsCopies = false;
    sleepMs(kLieMs - kCopiesMs);
    liar.healthStatus = 200;
    RECORD("episode %d is over", i + 1);
    sleepMs(kEpisodePeriodMs - kLieMs);
  }
  isOver = true;
  for (auto& it : clients) {
    it.join();
  }
  sleepMs(2'000);

  const auto runs = system.takeRuns();
  int refusedAndRun = 0;
  int twice = 0;
  int served = 0;
  for (const auto& it : sent) {
    const auto found = runs.find(it.id);
    const auto n = found == runs.end() ? 0 : int(found->second.size());
    const bool isPromise =
      it.status == 408 || it.status == 421 || it.status == 429 || it.status == 503;
    served += it.status == 200 ? 1 : 0;
    twice += n > 1 ? 1 : 0;
    if (isPromise && n > 0) {
      ++refusedAndRun;
      RECORD("REFUSED: order %s was answered %d and ran at %s",
             it.id.c_str(),
             it.status,
             found->second.front().worker.c_str());
    }
  }
  RECORD("%zu orders, %d served, %d late copies, %d answered as not run that had run, "
         "%d run twice",
         sent.size(),
         served,
         copies.load(),
         refusedAndRun,
         twice);
  printf("%zu orders, %d served, %d late copies, %d refused and run, %d run twice\n",
         sent.size(),
         served,
         copies.load(),
         refusedAndRun,
         twice);
  if (served < int(sent.size()) / 2) {
    cannotRun("less than half of the orders was served");
  }
  system.end(refusedAndRun + twice > 0 ? 1 : 0);
}
