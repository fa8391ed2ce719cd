#include "PresetReader.h"
#include "TomlReader.h"
#include <algorithm>
#include <set>

namespace masticwall {

namespace {

constexpr std::int64_t kMaxHeaderOrBodyBytes = 64LL * 1024 * 1024;
constexpr std::int64_t kMaxConnectionsPerUpstream = 1000;
constexpr std::int64_t kMaxQueueLength = 100'000;
constexpr double kMinOvercommit = 0.1;
constexpr double kMaxOvercommit = 100.0;
constexpr double kMaxWorth = 1e9; // in the operator's unit
constexpr double kMaxProbesPerSecond = 1000.0;
constexpr std::int64_t kMaxMeasuredVms = 100'000;
constexpr double kMaxLinkBytesPerSecond = 1e12;
constexpr std::int64_t kMaxSlots = 10'000;

void
readRanks(TomlReader& aReader, Preset& aPreset, std::vector<PresetProblem>& aProblems)
{
  TomlReader ranks(aReader.table("ranks"), aReader.pathOf("ranks"), aProblems);
  double floors = 0.0;
  for (const auto& it : EnumTable<Rank>::kEntries) {
    const std::string name(it.name);
    auto& policy = aPreset.ranks[indexOf(it.value)];
    TomlReader rank(ranks.table(name.c_str()), ranks.pathOf(name), aProblems);
    policy.target = rank.milliseconds("target_ms", policy.target);
    policy.floor = rank.number("floor", policy.floor, 0.0, 1.0);
    policy.worth = rank.number("worth", policy.worth, 0.0, kMaxWorth);
    floors += policy.floor;
    rank.reportUnknownKeys();
  }
  if (floors > 1.0) {
    ranks.report("floor", nullptr, "floors of all ranks that add up to at most 1");
  }
  ranks.reportUnknownKeys();
}

void
readLimits(const toml::table& aTable,
           const std::string& aPath,
           Limits& aLimits,
           std::vector<PresetProblem>& aProblems)
{
  TomlReader reader(aTable, aPath, aProblems);
  const auto readPositive =
    [&](const char* aKey, std::size_t aDefault, std::int64_t aMax) {
      return static_cast<std::size_t>(
        reader.integer(aKey, static_cast<std::int64_t>(aDefault), 1, aMax));
    };
  aLimits.maxHeaderBytes =
    readPositive("max_header_bytes", aLimits.maxHeaderBytes, kMaxHeaderOrBodyBytes);
  aLimits.maxBodyBytes =
    readPositive("max_body_bytes", aLimits.maxBodyBytes, kMaxHeaderOrBodyBytes);
  aLimits.connectionsPerUpstream = static_cast<int>(
    readPositive("connections_per_upstream", 15, kMaxConnectionsPerUpstream));
  aLimits.maxQueueLength =
    readPositive("queue_length", aLimits.maxQueueLength, kMaxQueueLength);
  aLimits.overcommit =
    reader.number("overcommit", aLimits.overcommit, kMinOvercommit, kMaxOvercommit);
  aLimits.retryBudget = reader.number("retry_budget", aLimits.retryBudget, 0.0, 1.0);
  aLimits.choice = reader.name("choice", aLimits.choice);
  reader.reportUnknownKeys();
}

void
readMeasuringAndLink(TomlReader& aReader,
                     Preset& aPreset,
                     std::vector<PresetProblem>& aProblems)
{
  TomlReader measuring(
    aReader.table("measuring"), aReader.pathOf("measuring"), aProblems);
  aPreset.measuring.probesPerSecond = measuring.number(
    "probes_per_second", aPreset.measuring.probesPerSecond, 0.0, kMaxProbesPerSecond);
  aPreset.measuring.maxVms = static_cast<int>(
    measuring.integer("vms", aPreset.measuring.maxVms, 1, kMaxMeasuredVms));
  measuring.reportUnknownKeys();
  TomlReader link(aReader.table("link"), aReader.pathOf("link"), aProblems);
  aPreset.link.bytesPerSecond = link.number(
    "bytes_per_second", aPreset.link.bytesPerSecond, 0.0, kMaxLinkBytesPerSecond);
  aPreset.link.urgentReserve =
    link.number("urgent_reserve", aPreset.link.urgentReserve, 0.0, 1.0);
  link.reportUnknownKeys();
}

Route
readRoute(const toml::table& aTable,
          const std::string& aPath,
          const std::string& aService,
          std::vector<PresetProblem>& aProblems)
{
  TomlReader reader(aTable, aPath, aProblems);
  Route route;
  route.service = aService;
  route.method = reader.text("method");
  route.path = reader.text("path");
  if (!route.path.empty() && !route.path.starts_with('/')) {
    reader.report("path", aTable.get("path"), "a path that begins with '/'");
  }
  route.rank = reader.name("rank", route.rank);
  route.idempotent = reader.flag("idempotent", route.idempotent);
  route.deadline = reader.milliseconds("deadline_ms", route.deadline);
  reader.reportUnknownKeys();
  return route;
}

void
readService(const toml::table& aTable,
            const std::string& aPath,
            Preset& aPreset,
            std::vector<PresetProblem>& aProblems)
{
  TomlReader reader(aTable, aPath, aProblems);
  Service service;
  service.name = reader.text("name");
  service.slots = static_cast<int>(reader.integer("slots", service.slots, 1, kMaxSlots));
  const bool isDuplicate =
    std::any_of(aPreset.services.begin(),
                aPreset.services.end(),
                [&](const auto& aOther) { return aOther.name == service.name; });
  if (isDuplicate) {
    reader.report("name", aTable.get("name"), "a name that no other service has");
  }
  std::size_t n = 0;
  for (const auto* const it : reader.tables("route")) {
    const auto path = reader.pathOf("route[" + std::to_string(n++) + "]");
    aPreset.routes.push_back(readRoute(*it, path, service.name, aProblems));
  }
  reader.reportUnknownKeys();
  aPreset.services.push_back(std::move(service));
}

} // namespace

void
readPresetText(std::string_view aText,
               const std::string& aPath,
               PresetParseResult& aResult)
{
  const auto parsed = toml::parse(aText);
  if (!parsed) {
    const auto& error = parsed.error();
    aResult.problems.push_back(
      { aPath, error.source().begin.line, "TOML: " + std::string(error.description()) });
    return;
  }
  TomlReader reader(parsed.table(), aPath, aResult.problems);
  aResult.preset.name = reader.optionalText("name", aResult.preset.name);
  if (parsed.table().contains("ranks")) {
    readRanks(reader, aResult.preset, aResult.problems);
  }
  if (parsed.table().contains("limits")) {
    readLimits(reader.table("limits"),
               reader.pathOf("limits"),
               aResult.preset.limits,
               aResult.problems);
  }
  readMeasuringAndLink(reader, aResult.preset, aResult.problems);
  std::size_t n = 0;
  for (const auto* const it : reader.tables("service")) {
    const auto path = reader.pathOf("service[" + std::to_string(n++) + "]");
    readService(*it, path, aResult.preset, aResult.problems);
  }
  reader.reportUnknownKeys();
}

void
reportDuplicateRoutes(const std::vector<Route>& aRoutes,
                      std::vector<PresetProblem>& aProblems)
{
  std::set<std::pair<std::string_view, std::string_view>> seen;
  for (const auto& it : aRoutes) {
    if (!seen.emplace(it.method, it.path).second) {
      aProblems.push_back({ "route " + it.method + ' ' + it.path,
                            0,
                            "a method and path that no other route has" });
    }
  }
}

} // namespace masticwall
