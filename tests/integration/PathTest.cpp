#include "TestSystem.h"
#include <QJsonObject>
#include <catch2/catch.hpp>

using namespace masticwall;
using namespace masticwall::test;

TEST_CASE("a lookup goes from a caller to an upstream and back")
{
  TestSystem system({});
  REQUIRE(system.start());
  const auto response =
    system.call(0, makeRequest("GET", "/lookup/7", { { "Request-Id", "a" } }));
  REQUIRE(response.has_value());
  CHECK(response->status == 200);
  CHECK(outcomeOf(*response) == "answered");
  CHECK(response->body == "GET /lookup/7\n");
  CHECK(http::findHeader(response->headers, "Echo-Id") == "a");
}

TEST_CASE("an order is claimed, runs once, and its resend gets the recorded answer")
{
  TestSystem system({});
  REQUIRE(system.start());
  const auto order =
    makeRequest("POST", "/orders", { { "Idempotency-Key", "key-1" } }, "two cisterns");
  for (const int vm : { 0, 0, 1 }) {
    const auto response = system.call(vm, order);
    REQUIRE(response.has_value());
    CHECK(outcomeOf(*response) == "answered");
    CHECK(response->body == "POST /orders\ntwo cisterns");
  }
  CHECK(system.ledger().runsOf("key-1") == 1);
}

TEST_CASE(
  "an order without a key, or with a key of another request, is refused as not run")
{
  TestSystem system({});
  REQUIRE(system.start());
  const auto keyless = system.call(0, makeRequest("POST", "/orders", {}, "x"));
  REQUIRE(keyless.has_value());
  CHECK(keyless->status == 400);
  CHECK(reasonOf(*keyless) == "missing-idempotency-key");
  const http::HeaderList key{ { "Idempotency-Key", "key-2" } };
  REQUIRE(system.call(0, makeRequest("POST", "/orders", key, "first")).has_value());
  for (const int vm : { 0, 1 }) {
    const auto other = system.call(vm, makeRequest("POST", "/orders", key, "second"));
    REQUIRE(other.has_value());
    CHECK(other->status == 422);
    CHECK(outcomeOf(*other) == "not-run");
    CHECK(reasonOf(*other) == "idempotency-key-reused");
  }
  CHECK(system.ledger().runsOf("key-2") == 1);
}
