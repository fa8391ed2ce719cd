#include <catch2/catch.hpp>
#include <decide/LargestTenants.h>
#include <map>

using namespace masticwall;

namespace {

std::vector<Tenant>
makeTenants(int aCount, double aPerSecond)
{
  std::vector<Tenant> tenants;
  for (int i = 0; i < aCount; ++i) {
    Tenant tenant;
    tenant.name = "t" + std::to_string(i);
    tenant.perSecond = aPerSecond;
    tenants.push_back(std::move(tenant));
  }
  return tenants;
}

} // namespace

TEST_CASE("of 3,400 tenants the 20 with the highest rates are named, the rest as one")
{
  auto tenants = makeTenants(3400, 5.0);
  tenants[3000].perSecond = 50.0;
  tenants[3001].perSecond = 0.0; // no limit
  const LargestTenants largest(tenants);
  std::map<std::string_view, int> labels;
  for (const auto& it : tenants) {
    ++labels[largest.labelOf(it)];
  }
  CHECK(labels.size() == LargestTenants::kMaxTenants + 1);
  CHECK(labels["t3000"] == 1);
  CHECK(labels["t3001"] == 1);
  CHECK(labels["t0"] == 1);
  CHECK(labels["t17"] == 1);
  CHECK(labels.count("t18") == 0);
  CHECK(labels["other"] == 3380);
}

TEST_CASE("a few tenants are all named")
{
  const auto tenants = makeTenants(3, 1.0);
  const LargestTenants largest(tenants);
  CHECK(largest.labelOf(tenants[2]) == "t2");
}
