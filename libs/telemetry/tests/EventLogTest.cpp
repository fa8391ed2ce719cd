#include <catch2/catch.hpp>
#include <telemetry/EventLog.h>

using namespace masticwall;

TEST_CASE("plain log values stay as they are")
{
  CHECK(escapeLogValue("orders-1") == "orders-1");
}

TEST_CASE("log values with spaces or quotes are quoted and escaped")
{
  CHECK(escapeLogValue("a b") == "\"a b\"");
  CHECK(escapeLogValue("say \"x\"") == "\"say \\\"x\\\"\"");
  CHECK(escapeLogValue("") == "\"\"");
}

TEST_CASE("a log value cannot begin a new line")
{
  CHECK(escapeLogValue("a\nevent=forged") == "\"a\\x0aevent=forged\"");
}
