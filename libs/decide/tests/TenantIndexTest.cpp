#include <catch2/catch.hpp>
#include <decide/TenantIndex.h>

using namespace masticwall;

namespace {

Tenant
makeTenant(const std::string& aName, std::vector<std::string> aKeys)
{
  Tenant tenant;
  tenant.name = aName;
  tenant.keys = std::move(aKeys);
  return tenant;
}

} // namespace

TEST_CASE("a tenant is found by each of its keys, and by no other text")
{
  const std::vector<Tenant> tenants{ makeTenant("a", { "key-1", "key-2" }),
                                     makeTenant("b", { "key-3" }) };
  const TenantIndex index(tenants);
  CHECK(index.find(tenants, "key-1") == 0U);
  CHECK(index.find(tenants, "key-2") == 0U);
  CHECK(index.find(tenants, "key-3") == 1U);
  for (const auto* const it : { "", "key-4", "key-", "key-11", "KEY-1", "key-1 ", "a" }) {
    CAPTURE(it);
    CHECK_FALSE(index.find(tenants, it).has_value());
  }
  CHECK_FALSE(index.find(tenants, std::string(1U << 20U, 'k')).has_value());
  CHECK(index.problems().empty());
  CHECK_FALSE(TenantIndex().find({}, "key-1").has_value());
}

TEST_CASE("a key that two tenants have names none; their other keys hold")
{
  const std::vector<Tenant> tenants{ makeTenant("a", { "shared", "key-a" }),
                                     makeTenant("b", { "key-b", "shared" }),
                                     makeTenant("c", { "shared", "key-c" }) };
  const TenantIndex index(tenants);
  CHECK_FALSE(index.find(tenants, "shared").has_value());
  CHECK(index.find(tenants, "key-a") == 0U);
  CHECK(index.find(tenants, "key-b") == 1U);
  CHECK(index.find(tenants, "key-c") == 2U);
  CHECK(index.problems() ==
        std::vector<TenantKeyProblem>{ { TenantKeyFault::Shared, 1, 0 },
                                       { TenantKeyFault::Shared, 2, 0 } });
}

TEST_CASE("a key that stands twice with the same tenant is a key of that tenant")
{
  const std::vector<Tenant> tenants{ makeTenant("a", { "key", "key" }),
                                     makeTenant("a", { "key" }) };
  const TenantIndex index(tenants);
  CHECK(index.find(tenants, "key") == 0U);
  CHECK(index.size() == 1);
  CHECK(index.problems().empty());
}

TEST_CASE("empty keys name nobody, and a tenant without keys is no fault of the others")
{
  const std::vector<Tenant> tenants{ makeTenant("a", {}),
                                     makeTenant("b", { "", "key-b" }) };
  const TenantIndex index(tenants);
  CHECK_FALSE(index.find(tenants, "").has_value());
  CHECK(index.find(tenants, "key-b") == 1U);
  CHECK(index.problems() ==
        std::vector<TenantKeyProblem>{ { TenantKeyFault::None, 0, 0 },
                                       { TenantKeyFault::Empty, 1, 1 } });
}

TEST_CASE("with 3,400 tenants of 3 keys each, a look-up compares one key at most")
{
  constexpr std::size_t kTenants = 3400;
  constexpr std::size_t kKeys = 3;
  std::vector<Tenant> tenants;
  for (std::size_t i = 0; i < kTenants; ++i) {
    std::vector<std::string> keys;
    for (std::size_t k = 0; k < kKeys; ++k) {
      keys.push_back("secret-" + std::to_string(i * kKeys + k));
    }
    tenants.push_back(makeTenant("t" + std::to_string(i), std::move(keys)));
  }
  const TenantIndex index(tenants);
  CHECK(index.size() == kTenants * kKeys);
  CHECK(index.digestCount() == index.size());
  std::size_t found = 0;
  for (std::size_t i = 0; i < kTenants; ++i) {
    for (const auto& it : tenants[i].keys) {
      found += index.find(tenants, it) == i ? 1 : 0;
    }
  }
  CHECK(found == kTenants * kKeys);
}
