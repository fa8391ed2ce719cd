#include <catch2/catch.hpp>
#include <telemetry/EventLog.h>

using namespace masticwall;

TEST_CASE("plain log values are written unquoted")
{
  CHECK(escapeLogValue("orders-1") == "orders-1");
}

TEST_CASE("log values that are empty or have spaces or quotes are quoted and escaped")
{
  CHECK(escapeLogValue("a b") == "\"a b\"");
  CHECK(escapeLogValue("say \"x\"") == "\"say \\\"x\\\"\"");
  CHECK(escapeLogValue("") == "\"\"");
}

TEST_CASE("line breaks in log values are escaped, so that no line can be forged")
{
  CHECK(escapeLogValue("a\nevent=forged") == "\"a\\x0aevent=forged\"");
}
