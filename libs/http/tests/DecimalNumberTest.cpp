#include <catch2/catch.hpp>
#include <http/DecimalNumber.h>
#include <http/HttpError.h>
#include <limits>
#include <string>

using namespace masticwall;
using http::parseDecimalNumber;

TEST_CASE("a decimal number is parsed")
{
  CHECK(parseDecimalNumber("0").value() == 0.0);
  CHECK(parseDecimalNumber("5").value() == 5.0);
  CHECK(parseDecimalNumber("4.25").value() == 4.25);
  CHECK(parseDecimalNumber(".5").value() == 0.5);
}

TEST_CASE("text that is no plain decimal number is malformed")
{
  for (const auto* const it : { "",
                                "soon",
                                "-1",
                                "+1",
                                "inf",
                                "nan",
                                "1e400",
                                "1e1",
                                "5 ",
                                "5,0",
                                "0x5",
                                "." }) {
    CAPTURE(it);
    const auto parsed = parseDecimalNumber(it);
    REQUIRE(parsed.has_error());
    CHECK(parsed.error() == HttpError::Malformed);
  }
}

TEST_CASE("numbers that a double can't hold count as the largest one, or as zero")
{
  constexpr std::size_t kDigits = 400;
  CHECK(parseDecimalNumber(std::string(kDigits, '9')).value() ==
        std::numeric_limits<double>::max());
  CHECK(parseDecimalNumber("0." + std::string(kDigits, '0') + "1").value() == 0.0);
}
