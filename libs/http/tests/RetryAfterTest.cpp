#include <catch2/catch.hpp>
#include <http/HttpError.h>
#include <http/RetryAfter.h>
#include <string>

using namespace masticwall;
using http::parseRetryAfter;

TEST_CASE("Retry-After is a decimal number of seconds")
{
  CHECK(parseRetryAfter("0").value() == 0s);
  CHECK(parseRetryAfter("3").value() == 3s);
  CHECK(parseRetryAfter("0.25").value() == 250ms);
  CHECK(parseRetryAfter("1.5").value() == 1500ms);
  CHECK(parseRetryAfter(".5").value() == 500ms);
}

TEST_CASE("a Retry-After that is no number is rejected")
{
  for (const auto* const it : { "",
                                "-1",
                                "+1",
                                "soon",
                                "1s",
                                "1,5",
                                "1e3",
                                "nan",
                                "inf",
                                "infinity",
                                "0x10",
                                "1 2",
                                "1.2.3",
                                ".",
                                "Fri, 04 Dec 2026 23:59:59 GMT" }) {
    CAPTURE(it);
    const auto parsed = parseRetryAfter(it);
    REQUIRE(parsed.has_error());
    CHECK(parsed.error() == HttpError::Malformed);
  }
}

TEST_CASE("a very long Retry-After counts as the longest time")
{
  CHECK(parseRetryAfter("99999999999").value() == http::kMaxRetryAfter);
  CHECK(parseRetryAfter(std::string(400, '9')).value() == http::kMaxRetryAfter);
  CHECK(Instant::clock::now() + http::kMaxRetryAfter > Instant::clock::now());
}
