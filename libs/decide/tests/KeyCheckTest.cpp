#include <catch2/catch.hpp>
#include <decide/CallRank.h>
#include <decide/KeyCheck.h>

using namespace masticwall;

namespace {

constexpr Duration kFresh = 300ms;
constexpr Duration kOld = 6s; ///< beyond the 5 s that a withdrawn key may live

Preset
makePreset()
{
  Preset preset;
  Route closed;
  closed.name = "closed";
  auto open = closed;
  open.name = "open";
  open.isPublic = true;
  preset.routes = { closed, open };
  Tenant tenant;
  tenant.name = "sese";
  tenant.keys = { "known" };
  preset.tenants = std::vector{ tenant };
  preset.indexRoutes();
  return preset;
}

KeyCheck
check(const Preset& aPreset,
      const CallerCredential& aCredential,
      Duration aSourceAge = kFresh,
      bool aIsPublic = false)
{
  return KeyCheck::of(
    aPreset, aPreset.routes[aIsPublic ? 1 : 0], aCredential, aSourceAge);
}

const CallerCredential kNone{};
const CallerCredential kKnown{ CredentialForm::Key, "known" };
const CallerCredential kUnknown{ CredentialForm::Key, "unknown" };
const CallerCredential kMalformed{ CredentialForm::Malformed };
const CallerCredential kRepeated{ CredentialForm::Repeated };

} // namespace

TEST_CASE("a call is let in by its tenant's key, and refused with 401 for anything else")
{
  const auto preset = makePreset();
  const auto known = check(preset, kKnown);
  CHECK(known.verdict == KeyVerdict::Known);
  CHECK(known.tenant == &preset.tenants->at(0));
  CHECK_FALSE(known.refusal().has_value());
  CHECK(check(preset, kNone).verdict == KeyVerdict::Missing);
  CHECK(check(preset, kUnknown).verdict == KeyVerdict::Unknown);
  CHECK(check(preset, kMalformed).verdict == KeyVerdict::Malformed);
  CHECK(check(preset, kRepeated).verdict == KeyVerdict::Repeated);
  for (const auto& it : { kNone, kUnknown, kMalformed, kRepeated }) {
    CHECK(check(preset, it).refusal() == CallError::UnknownKey);
    CHECK(check(preset, it).tenant == nullptr);
  }
}

TEST_CASE("a public route needs no key, and tells a tenant by a key that is known")
{
  const auto preset = makePreset();
  for (const auto& it : { kNone, kUnknown, kMalformed, kRepeated }) {
    const auto result = check(preset, it, kFresh, true);
    CHECK(result.verdict == KeyVerdict::NotNeeded);
    CHECK(result.tenant == nullptr);
    CHECK_FALSE(result.refusal().has_value());
  }
  CHECK(check(preset, kKnown, kFresh, true).tenant == &preset.tenants->at(0));
}

TEST_CASE(
  "without a list of tenants no call needs a key, whatever it carries and however old")
{
  Preset preset;
  preset.routes.emplace_back();
  preset.keys.failsClosed = true;
  preset.indexRoutes();
  for (const auto& it : { kNone, kKnown, kMalformed, kRepeated }) {
    const auto result = check(preset, it, Duration::max());
    CHECK(result.verdict == KeyVerdict::NotNeeded);
    CHECK_FALSE(result.refusal().has_value());
  }
}

// Guards against a preset that lists no tenant any more and lets every key in.
TEST_CASE(
  "with an empty list of tenants no key is known, and only public routes are open")
{
  auto preset = makePreset();
  preset.tenants->clear();
  preset.indexRoutes();
  for (const auto& it : { kNone, kKnown, kUnknown, kMalformed, kRepeated }) {
    CHECK(check(preset, it).refusal() == CallError::UnknownKey);
    CHECK_FALSE(check(preset, it, kFresh, true).refusal().has_value());
    CHECK(check(preset, it, kFresh, true).tenant == nullptr);
  }
  CHECK(check(preset, kKnown).verdict == KeyVerdict::Unknown);
  // A tenant may have been added since.
  CHECK(check(preset, kKnown, kOld).refusal() == CallError::NotReady);
}

TEST_CASE(
  "a VM that has not heard of new keys for long can't judge a key it doesn't know")
{
  const auto preset = makePreset();
  CHECK(check(preset, kUnknown, 5s).refusal() == CallError::UnknownKey);
  for (const auto age : { kOld, Duration::max() }) {
    CHECK(check(preset, kUnknown, age).refusal() == CallError::NotReady);
    // No configuration allows these.
    CHECK(check(preset, kNone, age).refusal() == CallError::UnknownKey);
    CHECK(check(preset, kMalformed, age).refusal() == CallError::UnknownKey);
    CHECK(check(preset, kRepeated, age).refusal() == CallError::UnknownKey);
  }
}

TEST_CASE("known keys hold on a VM without news, unless the operator wants it closed")
{
  auto preset = makePreset();
  CHECK(check(preset, kKnown, kOld).tenant == &preset.tenants->at(0));
  preset.keys.failsClosed = true;
  CHECK(check(preset, kKnown, 5s).tenant == &preset.tenants->at(0));
  const auto closed = check(preset, kKnown, kOld);
  CHECK(closed.verdict == KeyVerdict::Stale);
  CHECK(closed.refusal() == CallError::NotReady);
  const auto open = check(preset, kKnown, kOld, true);
  CHECK_FALSE(open.refusal().has_value());
  CHECK(open.tenant == nullptr);
}

TEST_CASE("a withdrawn key is refused by the preset that withdraws it")
{
  auto preset = makePreset();
  preset.tenants->at(0).keys = { "next" };
  preset.indexRoutes();
  CHECK(check(preset, kKnown).refusal() == CallError::UnknownKey);
  CHECK(check(preset, { CredentialForm::Key, "next" }).verdict == KeyVerdict::Known);
}

TEST_CASE("a tenant's rank goes before its route's, and is protected as the route's is")
{
  Preset preset;
  Route route;
  route.service = "s";
  route.rank = Rank::Standard;
  route.target = 400ms;
  preset.routes = { route };
  preset.indexRoutes();
  CHECK(preset.targets.lowestMoreUrgentTarget("s", Rank::Standard) == Duration::max());
  Tenant urgent;
  urgent.name = "u";
  urgent.rank = Rank::Urgent;
  Tenant plain;
  plain.name = "p";
  preset.tenants = std::vector{ plain, urgent };
  preset.indexRoutes();
  CHECK(callRank(route, nullptr) == Rank::Standard);
  CHECK(callRank(route, &preset.tenants->at(0)) == Rank::Standard);
  CHECK(callRank(route, &preset.tenants->at(1)) == Rank::Urgent);
  CHECK(preset.targets.lowestMoreUrgentTarget("s", Rank::Standard) == 400ms);
}
