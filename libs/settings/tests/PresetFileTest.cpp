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
hasProblem(const PresetParseResult& aParse, const std::string& aPath, std::size_t aLine)
{
  return std::any_of(
    aParse.problems.begin(), aParse.problems.end(), [&](const PresetProblem& aProblem) {
      return aProblem.keyPath == aPath && aProblem.line == aLine &&
             !aProblem.expected.empty();
    });
}

} // namespace

TEST_CASE("all fields of a valid preset are parsed")
{
  const auto parse = parsePreset(kValidPreset);
  REQUIRE(parse.isValid());
  CHECK(parse.preset.name == "ordinary");
  CHECK(parse.preset.ranks[indexOf(Rank::Urgent)].target == 250ms);
  CHECK(parse.preset.limits.maxBodyBytes == 2048);
  CHECK(parse.preset.limits.choice == LoadBalancingPolicy::FewestInFlight);
  REQUIRE(parse.preset.services.size() == 2);
  CHECK(parse.preset.services[0].slots == 6);
  REQUIRE(parse.preset.routes.size() == 2);
  CHECK_FALSE(parse.preset.routes[0].idempotent);
  CHECK(parse.preset.routes[0].rank == Rank::Urgent);
}

TEST_CASE("all invalid fields are reported together, with path and line")
{
  const auto parse = parsePreset(R"(name = "bad"
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
  CHECK(hasProblem(parse, "colour", 2));
  CHECK(hasProblem(parse, "ranks.urgent.floor", 4));
  CHECK(hasProblem(parse, "limits.queue_length", 6));
  CHECK(hasProblem(parse, "service[0].name", 7));
  CHECK(hasProblem(parse, "service[0].slots", 8));
  CHECK(hasProblem(parse, "service[0].route[0].path", 11));
  CHECK(hasProblem(parse, "service[0].route[0].rank", 12));
}

TEST_CASE("text that is not TOML is reported with its line")
{
  const auto parse = parsePreset("name = \"x\"\n= 3\n");
  REQUIRE(parse.problems.size() == 1);
  CHECK(parse.problems[0].line == 2);
}

TEST_CASE("floors that add up to more than 1 and duplicate routes are reported")
{
  const auto parse = parsePreset(R"(name = "bad"
[ranks.urgent]
floor = 0.7
[ranks.bulk]
floor = 0.7
[[service]]
name = "a"
route = [{ method = "GET", path = "/x" }, { method = "GET", path = "/x" }]
)");
  CHECK(parse.problems.size() == 2);
}

TEST_CASE("a preset that is split into sections is parsed like the whole")
{
  const auto sections = splitPreset(kValidPreset);
  REQUIRE(sections.size() == 3);
  CHECK(sections.contains("general"));
  CHECK(sections.contains("service/orders"));
  const auto parse = parseSections(sections);
  REQUIRE(parse.isValid());
  CHECK(parse.preset.services.size() == 2);
  CHECK(parse.preset.routes.size() == 2);
  CHECK(parse.preset.ranks[indexOf(Rank::Urgent)].floor == Approx(0.4));
}
