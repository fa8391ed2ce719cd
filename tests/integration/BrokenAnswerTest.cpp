#include "GatewaySystem.h"
#include "Wait.h"
#include <catch2/catch.hpp>
#include <http/Serializer.h>

using namespace masticwall;
using namespace masticwall::test;

// Guards against broken answers of upstreams that reach callers. What a caller gets is
// read from the raw bytes: the product's parser would take a broken answer for none.

namespace {

/** What an upstream sends; "{signs}" stands for the request's id and the signature. */
struct BrokenAnswer
{
  const char* name;
  QByteArray bytes;
};

QByteArray
withStatus(const QByteArray& aStatus)
{
  return "HTTP/1.1 " + aStatus +
         " Odd\r\n{signs}X-Odd: 1\r\nContent-Length: 3\r\n\r\nodd";
}

http::Request
makeCall(const std::string& aMethod,
         const std::string& aId,
         const http::HeaderList& aMore = {})
{
  http::HeaderList headers{ { "Host", "a.example" },
                            { "Masticwall-Request-Id", aId },
                            { "Masticwall-Request-Deadline", "2000" } };
  headers.insert(headers.end(), aMore.begin(), aMore.end());
  return makeRequest(aMethod, aMethod == "POST" ? "/order/1" : "/read/1", headers);
}

http::HeaderList
askFor(const QByteArray& aAnswer)
{
  return { { "Test-Raw-Answer", aAnswer.toPercentEncoding().toStdString() } };
}

/** Whether the caller gets a whole answer of its own, with nothing before or after. */
bool
isServed(TestCaller& aCaller, const std::string& aMethod, const std::string& aId)
{
  aCaller.send(makeCall(aMethod, aId));
  const auto response = aCaller.receiveRaw();
  return response.has_value() && response->status() == "200" &&
         response->field("Masticwall-Request-Id") == aId &&
         response->body.starts_with(aMethod) && aCaller.takeRest().isEmpty();
}

/** Each method's caller gets a whole 502 in place of the broken answer, and its next
 * answer on the same connection; an order has run once. */
void
checkNotPassedOn(GatewaySystem& aSystem, const BrokenAnswer& aAnswer)
{
  static int sCount = 0;
  for (const std::string method : { "GET", "POST" }) {
    CAPTURE(aAnswer.name, method);
    const auto id = "odd-" + std::to_string(++sCount);
    TestCaller caller(aSystem.gatewayHost(0), GatewaySystem::kFrontPort);
    caller.send(makeCall(method, id, askFor(aAnswer.bytes)));
    const auto response = caller.receiveRaw(5000);
    REQUIRE(response.has_value());
    CHECK(response->statusLine.starts_with("HTTP/1.1 502 "));
    CHECK_FALSE(response->field("Content-Length").empty());
    CHECK(response->field("X-Odd").empty());
    CHECK(response->body.find("odd") == std::string::npos);
    CHECK(caller.takeRest().isEmpty());
    // A lookup may be sent once more.
    const auto runs = aSystem.runsOf(id);
    CHECK(runs >= 1);
    CHECK(runs <= (method == "POST" ? 1 : 2));
    CHECK(isServed(caller, method, "next-" + id));
  }
}

} // namespace

TEST_CASE("an answer whose status is none does not reach the caller")
{
  GatewaySystem system(1, 2);
  REQUIRE(system.start());
  for (const auto& it : { BrokenAnswer{ "below all", withStatus("000") },
                          { "below 100", withStatus("099") },
                          { "above 599", withStatus("600") },
                          { "the highest", withStatus("999") },
                          { "not three digits", withStatus("20") },
                          { "no digits", withStatus("2x0") } }) {
    checkNotPassedOn(system, it);
  }
}

TEST_CASE("an interim answer with a status that is not known precedes the final one")
{
  GatewaySystem system(1, 2);
  REQUIRE(system.start());
  const QByteArray own = "HTTP/1.1 150 Odd\r\n{signs}X-Odd: 1\r\n\r\n"
                         "HTTP/1.1 200 OK\r\n{signs}Content-Length: 3\r\n\r\nown";
  for (const std::string method : { "GET", "POST" }) {
    CAPTURE(method);
    TestCaller caller(system.gatewayHost(0), GatewaySystem::kFrontPort);
    caller.send(makeCall(method, "interim-" + method, askFor(own)));
    const auto response = caller.receiveRaw(5000);
    REQUIRE(response.has_value());
    CHECK(response->status() == "200");
    CHECK(response->body == "own");
    CHECK(response->field("X-Odd").empty());
    CHECK(isServed(caller, method, "next-" + method));
  }
}
