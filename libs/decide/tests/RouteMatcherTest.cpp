#include <catch2/catch.hpp>
#include <core/CallError.h>
#include <decide/RouteMatcher.h>

using namespace masticwall;

namespace {

Preset
makePreset()
{
  Preset preset;
  preset.routes.push_back({ "GET", "/orders", "orders", Rank::Standard, true, 1s });
  preset.routes.push_back({ "GET", "/orders/bulk", "bulk", Rank::Bulk, true, 1s });
  preset.routes.push_back({ "POST", "/orders", "orders", Rank::Urgent, false, 1s });
  preset.indexRoutes();
  return preset;
}

std::string
serviceOf(const Preset& aPreset, std::string_view aMethod, std::string_view aPath)
{
  const auto route = matchRoute(aPreset, {}, aMethod, aPath);
  return route.has_value() ? route.value()->service : route.error().message();
}

} // namespace

TEST_CASE(
  "the route with the call's method and the longest prefix of whole segments matches")
{
  const auto preset = makePreset();
  CHECK(serviceOf(preset, "GET", "/orders") == "orders");
  CHECK(serviceOf(preset, "GET", "/orders/7?x=1") == "orders");
  CHECK(serviceOf(preset, "GET", "/orders/bulk/7") == "bulk");
  CHECK(serviceOf(preset, "GET", "/orders/bulky") == "orders");
  CHECK(serviceOf(preset, "GET", "/ordersx") == "no-route");
  CHECK(serviceOf(preset, "GET", "/orders/") == "orders");
  CHECK(serviceOf(preset, "GET", "/") == "no-route");
  CHECK(serviceOf(preset, "PUT", "/orders") == "no-route");
}
