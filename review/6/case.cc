// The operator takes the last tenant away; callers go on with its key, and with unknown ones.
#include "../kit-2/kit.hpp"

using namespace kit;

namespace {

constexpr double kConfigBound = 3.0;
constexpr double kLength = 16.0;
constexpr double kChangeAt = 5.0;

std::string
config(int aVersion, const std::string& aTenants)
{
  return R"({"version":)" + std::to_string(aVersion) +
         R"(,"routes":{"columns":["name","host","path-prefix","kind","timeout",)"
         R"("target-latency","priority","service","attempts","public"],"rows":[)"
         R"(["r1","a.example","/order/","unsafe","2s","400ms",1,"lookup",2,false],)"
         R"(["r2","a.example","/open/","safe","2s","400ms",1,"lookup",2,true]]},)"
         R"("services":{"columns":["name","health-path","max-connections","protocol",)"
         R"("tls"],"rows":[["lookup","/healthz",240,"h1",false]]},)"
         R"("limits":{"max-header-bytes":16384,"max-body-bytes":67108864,)"
         R"("header-timeout":"3s","idle-timeout":"15s"},"tenants":{"columns":["name",)"
         R"("api-keys","priority","rate-per-s","burst"],"rows":[)" +
         aTenants + "]}}";
}

std::mutex gMutex;
std::map<std::string, std::string> gSeen; ///< by request id: key and tenant at the worker

bool
serve(Worker& aWorker, int aFd, const Message& aRequest)
{
  const auto id = aRequest.header("Masticwall-Request-Id");
  const auto key = aRequest.header("Authorization");
  const auto tenant = aRequest.header("Masticwall-Tenant");
  gRecord.line("worker %s sees %s with key \"%s\" and tenant \"%s\"",
               aWorker.id.c_str(),
               id.c_str(),
               key.c_str(),
               tenant.c_str());
  {
    const std::scoped_lock lock(gMutex);
    gSeen[id] = key + "|" + tenant;
  }
  sleepFor(0.01);
  return sendAll(
    aFd, serialize("HTTP/1.1 200 OK", aWorker.answerHeaders(aRequest), "done"));
}

} // namespace

int
main(int, char** aArgv)
{
  gRecord.open(std::string(aArgv[1]) + "/record.txt");
  System system(aArgv[2]);
  for (int i = 1; i <= 3; ++i) {
    system.addWorker("i-" + std::to_string(i), "lookup", serve);
  }
  const std::string tenant = R"(["water-office",["key-of-the-office"],1,0,0])";
  system.store.put("keyed.op", "config", config(7, tenant));
  system.addGateway();
  system.addGateway();
  system.start("/open/small");
  const auto begin = seconds();
  double changedAt = 1e9;
  int n = 0;
  int unknownRan = 0;
  int withdrawnRan = 0;
  int keysPassedOn = 0;
  int forgedTenants = 0;
  int wrongBefore = 0;
  while (seconds() < begin + kLength) {
    if (hasTrouble() && changedAt > 1e8 && seconds() >= begin + kChangeAt) {
      system.store.put("keyed.op", "config", config(9, ""));
      changedAt = seconds();
      gRecord.line("operator: version 9 has no row in \"tenants\" any more, acknowledged");
    }
    for (const auto& gateway : system.gateways) {
      for (const bool isUnknown : { false, true }) {
        const auto id = "c" + std::to_string(n++);
        const std::string key = isUnknown ? "never-held" : "key-of-the-office";
        const auto sentAt = seconds();
        const int fd = connectTo(gateway->ip, Gateway::frontPort);
        sendAll(fd,
                clientRequest("POST",
                              "/order/x",
                              id,
                              2000,
                              "one cistern",
                              { { "Authorization", "Bearer " + key },
                                { "Masticwall-Tenant", "somebody-else" } }));
        const auto answer = Reader(fd).read(3.0);
        closeFd(fd);
        const auto status = answer.has_value() ? answer->status() : 0;
        gRecord.line("client sent order %s at %.3f with the %s key, got %d",
                     id.c_str(),
                     sentAt,
                     isUnknown ? "unknown" : "office's",
                     status);
        const std::scoped_lock lock(gMutex);
        const auto seen = gSeen.find(id);
        const bool hasRun = seen != gSeen.end();
        if (sentAt < changedAt) {
          wrongBefore += hasRun == isUnknown ? 1 : 0;
        }
        const bool isBound = sentAt > changedAt + kConfigBound;
        unknownRan += hasRun && isUnknown ? 1 : 0;
        withdrawnRan += hasRun && !isUnknown && isBound ? 1 : 0;
        keysPassedOn += hasRun && !seen->second.starts_with("|") ? 1 : 0;
        forgedTenants += hasRun && seen->second.ends_with("somebody-else") ? 1 : 0;
      }
    }
    sleepFor(0.2);
  }
  char text[300];
  std::snprintf(text,
                sizeof text,
                "orders that ran: %d with a key that no configuration ever held, %d with a "
                "withdrawn key sent later than config after the change; the key was passed "
                "on with %d, a tenant's name of the caller's own with %d; %d wrong before",
                unknownRan,
                withdrawnRan,
                keysPassedOn,
                forgedTenants,
                wrongBefore);
  finish(system,
         unknownRan + withdrawnRan + keysPassedOn + forgedTenants + wrongBefore > 0,
         text);
}
