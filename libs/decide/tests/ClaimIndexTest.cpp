#include <catch2/catch.hpp>
#include <decide/ClaimIndex.h>

using namespace masticwall;

namespace {

constexpr std::int64_t kWindowMs = 1000;

Digest
digest(std::uint8_t aByte)
{
  Digest digest;
  digest.bytes[0] = aByte;
  return digest;
}

Claim
claim(const std::string& aVm,
      std::uint64_t aSequence,
      std::uint8_t aKey,
      std::int64_t aAtMs = 0,
      std::uint8_t aRequest = 1)
{
  return { { aVm, 1, aSequence }, digest(aKey), digest(aRequest), aAtMs };
}

ClaimStatus
applyAndGetStatus(ClaimIndex& aIndex, const Claim& aClaim)
{
  const auto verdict = aIndex.applyClaim(aClaim);
  return verdict.has_value() ? verdict->claimStatus : ClaimStatus::Unavailable;
}

} // namespace

TEST_CASE("the first claim of a key is granted, and later ones are lost to it")
{
  ClaimIndex index(kWindowMs);
  CHECK(applyAndGetStatus(index, claim("a", 1, 7)) == ClaimStatus::Granted);
  const auto verdict = index.applyClaim(claim("b", 1, 7));
  REQUIRE(verdict.has_value());
  CHECK(verdict->claimStatus == ClaimStatus::Lost);
  CHECK(verdict->holder == ClaimId{ "a", 1, 1 });
  CHECK(applyAndGetStatus(index, claim("b", 2, 8)) == ClaimStatus::Granted);
}

TEST_CASE("a claim of a held key for another request gets KeyReused")
{
  ClaimIndex index(kWindowMs);
  index.applyClaim(claim("a", 1, 7));
  CHECK(applyAndGetStatus(index, claim("b", 1, 7, 0, 2)) == ClaimStatus::KeyReused);
}

TEST_CASE("a duplicate of a claim changes nothing, also after a release")
{
  ClaimIndex index(kWindowMs);
  const auto first = claim("a", 1, 7);
  const auto lost = claim("b", 1, 7);
  index.applyClaim(first);
  index.applyClaim(lost);
  CHECK_FALSE(index.applyClaim(first).has_value());
  index.applyRelease(first.id);
  // A late duplicate of the released or the lost claim must not get the key.
  CHECK_FALSE(index.applyClaim(first).has_value());
  CHECK_FALSE(index.applyClaim(lost).has_value());
  CHECK(applyAndGetStatus(index, claim("c", 1, 7)) == ClaimStatus::Granted);
}

TEST_CASE("only a release by the holder frees the key")
{
  ClaimIndex index(kWindowMs);
  index.applyClaim(claim("a", 1, 7));
  index.applyClaim(claim("b", 1, 7));
  index.applyRelease({ "b", 1, 1 });
  CHECK(applyAndGetStatus(index, claim("c", 1, 7)) == ClaimStatus::Lost);
}

TEST_CASE("a claim holds its key for the window, by the claimants' timestamps")
{
  ClaimIndex index(kWindowMs);
  index.applyClaim(claim("a", 1, 7, 0));
  CHECK(applyAndGetStatus(index, claim("b", 1, 7, kWindowMs)) == ClaimStatus::Lost);
  CHECK(applyAndGetStatus(index, claim("b", 2, 7, kWindowMs + 1)) ==
        ClaimStatus::Granted);
}

TEST_CASE("claims older than twice the window are evicted")
{
  ClaimIndex index(kWindowMs);
  for (std::uint64_t i = 0; i < 100; ++i) {
    index.applyClaim(claim("a", i, static_cast<std::uint8_t>(i), 0));
  }
  CHECK(index.size() == 100);
  index.applyClaim(claim("b", 1, 200, 2 * kWindowMs + 1));
  CHECK(index.size() == 1);
}
