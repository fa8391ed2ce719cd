#include <catch2/catch.hpp>
#include <core/CallError.h>
#include <core/Rank.h>

using namespace masticwall;

TEST_CASE("enumerators convert to external names and back, case-sensitively")
{
  CHECK(nameOf(Rank::Urgent) == "urgent");
  CHECK(fromName<Rank>("bulk") == Rank::Bulk);
  CHECK_FALSE(fromName<Rank>("Bulk").has_value());
}

TEST_CASE("an error enumerator becomes a std::error_code with its name as the message")
{
  const std::error_code ec = CallError::Overload;
  CHECK(ec.message() == "overload");
  CHECK(std::string(ec.category().name()) == "call");
  CHECK(ec == CallError::Overload);
}
