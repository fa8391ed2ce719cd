#include <algorithm>
#include <catch2/catch.hpp>
#include <settings/PresetFile.h>

using namespace masticwall;

namespace {

constexpr const char* kValidPreset = R"(name = "ordinary"
[ranks.urgent]
target_ms = 250
floor = 0.4
[ranks.bulk]
floor = 0.1
[limits]
max_body_bytes = 2048
choice = "fewest-in-flight"
[[service]]
name = "orders"
slots = 6
[[service.route]]
method = "POST"
path = "/orders"
rank = "urgent"
idempotent = false
deadline_ms = 2000
[[service]]
name = "lookup"
[[service.route]]
method = "GET"
path = "/stock"
)";

bool
hasProblem(const PresetParseResult& aResult, const std::string& aPath, std::size_t aLine)
{
  return std::any_of(
    aResult.problems.begin(), aResult.problems.end(), [&](const PresetProblem& aProblem) {
      return aProblem.keyPath == aPath && aProblem.line == aLine &&
             !aProblem.expected.empty();
    });
}

} // namespace

TEST_CASE("a valid preset is parsed with its ranks, limits, services and routes")
{
  const auto result = parsePreset(kValidPreset);
  REQUIRE(result.isValid());
  CHECK(result.preset.name == "ordinary");
  CHECK(result.preset.ranks[indexOf(Rank::Urgent)].target == 250ms);
  CHECK(result.preset.limits.maxBodyBytes == 2048);
  CHECK(result.preset.limits.choice == LoadBalancingPolicy::FewestInFlight);
  REQUIRE(result.preset.services.size() == 2);
  CHECK(result.preset.services[0].slots == 6);
  REQUIRE(result.preset.routes.size() == 2);
  CHECK_FALSE(result.preset.routes[0].idempotent);
  CHECK(result.preset.routes[0].rank == Rank::Urgent);
}

TEST_CASE("all invalid fields are reported together, with path and line")
{
  const auto result = parsePreset(R"(name = "bad"
colour = "red"
[ranks.urgent]
floor = 2.0
[limits]
queue_length = "many"
[[service]]
slots = 0
[[service.route]]
method = "GET"
path = "stock"
rank = "fast"
)");
  CHECK(hasProblem(result, "colour", 2));
  CHECK(hasProblem(result, "ranks.urgent.floor", 4));
  CHECK(hasProblem(result, "limits.queue_length", 6));
  CHECK(hasProblem(result, "service[0].name", 7));
  CHECK(hasProblem(result, "service[0].slots", 8));
  CHECK(hasProblem(result, "service[0].route[0].path", 11));
  CHECK(hasProblem(result, "service[0].route[0].rank", 12));
}

TEST_CASE("text that is not TOML is reported with its line")
{
  const auto result = parsePreset("name = \"x\"\n= 3\n");
  REQUIRE(result.problems.size() == 1);
  CHECK(result.problems[0].line == 2);
}

TEST_CASE("floors that add up to more than 1 and duplicate routes are reported")
{
  const auto result = parsePreset(R"(name = "bad"
[ranks.urgent]
floor = 0.7
[ranks.bulk]
floor = 0.7
[[service]]
name = "a"
route = [{ method = "GET", path = "/x" }, { method = "GET", path = "/x" }]
)");
  CHECK(result.problems.size() == 2);
}

TEST_CASE(
  "the sections of a split preset parse to the services, routes and ranks of the preset")
{
  const auto sections = splitPreset(kValidPreset);
  REQUIRE(sections.size() == 3);
  CHECK(sections.contains("general"));
  CHECK(sections.contains("service/orders"));
  const auto result = parseSections(sections);
  REQUIRE(result.isValid());
  CHECK(result.preset.services.size() == 2);
  CHECK(result.preset.routes.size() == 2);
  CHECK(result.preset.ranks[indexOf(Rank::Urgent)].floor == Approx(0.4));
}
