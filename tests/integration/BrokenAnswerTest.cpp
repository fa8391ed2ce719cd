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

/** A lookup, or an order. */
http::Request
makeCall(const std::string& aMethod,
         const std::string& aId,
         const http::HeaderList& aMore = {})
{
  const auto* const path = aMethod == "POST" ? "/order/1" : "/read/1";
  return GatewaySystem::makeCall(aMethod, path, aId, aMore);
}

http::HeaderList
askFor(const QByteArray& aAnswer)
{
  return { { "Test-Raw-Answer", aAnswer.toPercentEncoding().toStdString() } };
}

/** A response whose head has these bytes in place of a field's line. */
QByteArray
withLine(const QByteArray& aLine)
{
  return "HTTP/1.1 200 OK\r\n{signs}" + aLine + "Content-Length: 3\r\n\r\nodd";
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

/** Each method's caller gets a whole response with `aStatus` in place of the broken
 * answer, and its next answer on the same connection; an order has run once. */
void
checkNotPassedOn(GatewaySystem& aSystem,
                 const BrokenAnswer& aAnswer,
                 const std::string& aStatus = "502")
{
  static int sCount = 0;
  for (const std::string method : { "GET", "POST" }) {
    CAPTURE(aAnswer.name, method);
    const auto id = "odd-" + std::to_string(++sCount);
    TestCaller caller(aSystem.gatewayHost(0), GatewaySystem::kFrontPort);
    caller.send(makeCall(method, id, askFor(aAnswer.bytes)));
    const auto response = caller.receiveRaw(5000);
    REQUIRE(response.has_value());
    CHECK(response->statusLine.starts_with("HTTP/1.1 " + aStatus + ' '));
    CHECK_FALSE(response->field("Content-Length").empty());
    CHECK(response->field("Masticwall-Server-Signature").empty());
    for (const auto& line : response->fieldLines) {
      CHECK(line.find("Odd") == std::string::npos);
    }
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

TEST_CASE("an answer with a line that is no field does not reach the caller")
{
  GatewaySystem system(1, 2);
  REQUIRE(system.start());
  for (const auto& it :
       { BrokenAnswer{ "a blank in the name", withLine("X Odd: 1\r\n") },
         { "a blank before the colon", withLine("X-Odd : 1\r\n") },
         { "a tab in the name", withLine("X\tOdd: 1\r\n") },
         { "NUL in the name", withLine(QByteArray("X\0Odd: 1\r\n", 10)) },
         { "a control byte in the name", withLine("X\x01Odd: 1\r\n") },
         { "DEL in the name", withLine("X\x7fOdd: 1\r\n") },
         { "a byte beyond ASCII in the name", withLine("X\x80Odd: 1\r\n") },
         { "a delimiter in the name", withLine("X(Odd: 1\r\n") },
         { "no name", withLine(": Odd\r\n") },
         { "no colon", withLine("Odd\r\n") },
         { "a bare carriage return in the value", withLine("X-Odd: 1\r2\r\n") },
         { "a bare line feed after the value", withLine("X-Odd: 1\nX: 2\r\n") },
         { "a control byte in the value", withLine("X-Odd: \x01\r\n") } }) {
    checkNotPassedOn(system, it);
  }
}

TEST_CASE("an answer with a line that continues another does not reach the caller")
{
  GatewaySystem system(1, 2);
  REQUIRE(system.start());
  for (const auto& it :
       { BrokenAnswer{ "with a blank", withLine("X-Odd: 1\r\n X-More: 2\r\n") },
         { "with a tab", withLine("X-Odd: 1\r\n\tX-More: 2\r\n") },
         { "after an empty value", withLine("X-Odd:\r\n 2\r\n") },
         { "without a byte of its own", withLine("X-Odd: 1\r\n \r\n") },
         { "hiding a length", withLine("X-Odd: 1\r\n Content-Length: 1\r\n") },
         { "hiding the framing",
           withLine("X-Odd: 1\r\n Transfer-Encoding: chunked\r\n") },
         { "first in the head",
           "HTTP/1.1 200 OK\r\n X-Odd: 1\r\n{signs}Content-Length: 3\r\n\r\nodd" },
         { "last in the head",
           "HTTP/1.1 200 OK\r\n{signs}Content-Length: 3\r\nX-Odd: 1\r\n 2\r\n\r\nodd" },
         { "in an interim answer",
           "HTTP/1.1 103 Odd\r\nX-Odd: 1\r\n 2\r\n\r\n" + withLine({}) } }) {
    checkNotPassedOn(system, it);
  }
}

TEST_CASE("an answer whose end or coding is not known does not reach the caller")
{
  GatewaySystem system(1, 2);
  REQUIRE(system.start());
  const auto withFraming = [](const QByteArray& aLines, const QByteArray& aBody) {
    return "HTTP/1.1 200 OK\r\n{signs}X-Odd: 1\r\n" + aLines + "\r\n" + aBody;
  };
  const QByteArray chunks = "3\r\nodd\r\n0\r\n\r\n";
  for (const auto& it :
       { BrokenAnswer{
           "a coding, to the end of the connection",
           withFraming("Transfer-Encoding: gzip\r\nConnection: close\r\n", "odd") },
         { "a coding, in chunks",
           withFraming("Transfer-Encoding: gzip, chunked\r\n", chunks) },
         { "a coding after the chunks",
           withFraming("Transfer-Encoding: chunked, gzip\r\n", chunks) },
         { "chunks in chunks",
           withFraming("Transfer-Encoding: chunked, chunked\r\n", chunks) },
         { "a coding and chunks in two lines",
           withFraming("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
                       chunks) },
         { "chunks, twice",
           withFraming("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                       chunks) },
         { "an empty coding", withFraming("Transfer-Encoding:\r\n", "odd") },
         { "a coding and a length",
           withFraming("Transfer-Encoding: gzip\r\nContent-Length: 3\r\n", "odd") },
         { "chunks and a length",
           withFraming("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", chunks) },
         { "a length and chunks",
           withFraming("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", chunks) },
         { "chunks of HTTP/1.0",
           "HTTP/1.0 200 OK\r\n{signs}X-Odd: 1\r\nTransfer-Encoding: chunked\r\n\r\n" +
             chunks },
         { "two lengths",
           withFraming("Content-Length: 3\r\nContent-Length: 2\r\n", "odd") },
         { "two lengths in a line", withFraming("Content-Length: 3, 2\r\n", "odd") },
         { "a length with a sign", withFraming("Content-Length: +3\r\n", "odd") },
         { "a length below 0", withFraming("Content-Length: -3\r\n", "odd") },
         { "a length that is no number", withFraming("Content-Length: 0x3\r\n", "odd") },
         { "no length", withFraming("Content-Length:\r\n", "odd") },
         { "a length beyond all numbers",
           withFraming("Content-Length: 99999999999999999999\r\n", "odd") },
         { "a chunk's size that is no number",
           withFraming("Transfer-Encoding: chunked\r\n", "x\r\nodd\r\n0\r\n\r\n") },
         { "a chunk's size with a sign",
           withFraming("Transfer-Encoding: chunked\r\n", "-3\r\nodd\r\n0\r\n\r\n") },
         { "a chunk's size beyond all numbers",
           withFraming("Transfer-Encoding: chunked\r\n",
                       "10000000000000003\r\nodd\r\n0\r\n\r\n") },
         { "a chunk longer than its size",
           withFraming("Transfer-Encoding: chunked\r\n", "2\r\nodd\r\n0\r\n\r\n") } }) {
    checkNotPassedOn(system, it);
  }
}

TEST_CASE("what follows the chunks of an answer counts for nothing")
{
  GatewaySystem system(1, 2);
  REQUIRE(system.start());
  const QByteArray head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
  const QByteArray body = "\r\n3\r\nodd\r\n0\r\n";
  // Without an id in its head it may be the late answer to another request: its own may
  // follow until the deadline.
  checkNotPassedOn(system, { "the signs", head + body + "{signs}\r\n" }, "504");
  for (const std::string method : { "GET", "POST" }) {
    const auto id = "trailer-" + method;
    TestCaller caller(system.gatewayHost(0), GatewaySystem::kFrontPort);
    caller.send(makeCall(method,
                         id,
                         askFor(head + "{signs}" + body +
                                "X-Odd: 1\r\nServer-Leaving: 1\r\nServer-Limit: "
                                "1\r\nConnection: close\r\n\r\n")));
    const auto response = caller.receiveRaw(5000);
    REQUIRE(response.has_value());
    CHECK(response->status() == "200");
    CHECK(response->field("Masticwall-Request-Id") == id);
    CHECK(response->body == "odd");
    for (const auto& name : { "X-Odd", "Server-Leaving", "Server-Limit" }) {
      CHECK(response->field(name).empty());
    }
    CHECK(isServed(caller, method, "next-" + id));
  }
  const auto metrics = system.metrics(0);
  CHECK(metrics.find("result=\"leaving\"") == std::string::npos);
  CHECK(metrics.find("result=\"limited\"") == std::string::npos);
}

TEST_CASE("what else a broken answer says counts for nothing")
{
  GatewaySystem system(1, 2);
  REQUIRE(system.start());
  const QByteArray signs = "{signs}Masticwall-Not-Executed: 1\r\nServer-Leaving: 1\r\n"
                           "Server-Limit: 1\r\nRetry-After: 60\r\n"
                           "Masticwall-Server-Load: 0,0,4,100\r\n";
  for (const auto& it :
       { BrokenAnswer{ "a status that is none",
                       "HTTP/1.1 000 Odd\r\n" + signs + "Content-Length: 3\r\n\r\nodd" },
         { "a refusal with a line that is no field",
           "HTTP/1.1 503 Odd\r\n" + signs + "X Odd: 1\r\nContent-Length: 3\r\n\r\nodd" },
         { "a refusal with a line that continues another",
           "HTTP/1.1 503 Odd\r\n" + signs + " 1\r\nContent-Length: 3\r\n\r\nodd" },
         { "a refusal whose coding is not known",
           "HTTP/1.1 503 Odd\r\n" + signs +
             "Transfer-Encoding: gzip\r\nContent-Length: 3\r\n\r\nodd" },
         { "a refusal whose body is cut",
           "HTTP/1.1 503 Odd\r\n" + signs +
             "Transfer-Encoding: chunked\r\n\r\n3\r\nodd\r\nx\r\n" } }) {
    checkNotPassedOn(system, it);
  }
  // The same as answers to load queries.
  const auto health = "HTTP/1.1 000 Odd\r\nMasticwall-Instance-Id: i-0\r\n" +
                      QByteArray(signs).replace("{signs}", "") +
                      "Content-Length: 0\r\n\r\n";
  system.setUpstream(
    0, "hide_load=1&raw_health=" + health.toPercentEncoding().toStdString());
  TestCaller caller(system.gatewayHost(0), GatewaySystem::kFrontPort);
  for (int i = 0; i < 20; ++i) {
    CHECK(isServed(caller, "GET", "query-" + std::to_string(i)));
    runEventsFor(70); // until load reports are stale
  }
  const auto metrics = system.metrics(0);
  for (const auto& sign : { "leaving", "limited", "held-off", "bad-retry-after" }) {
    CAPTURE(sign);
    CHECK(metrics.find("result=\"" + std::string(sign) + '"') == std::string::npos);
  }
}

TEST_CASE("an upstream whose answers are all broken is avoided as any that fails")
{
  constexpr int kCalls = 100;
  for (const auto& answer :
       { withStatus("000"), withLine("X Odd: 1\r\n"), withLine("X: 1\r\n 2\r\n") }) {
    CAPTURE(answer.toStdString());
    GatewaySystem system(1, 2);
    REQUIRE(system.start());
    const auto before = system.ledgerOf(0).runsByKey.size();
    system.setUpstream(0, "raw_answer=" + answer.toPercentEncoding().toStdString());
    TestCaller caller(system.gatewayHost(0), GatewaySystem::kFrontPort);
    int served = 0;
    for (int i = 0; i < kCalls; ++i) {
      served += isServed(caller, "POST", "order-" + std::to_string(i)) ? 1 : 0;
    }
    const auto tried = static_cast<int>(system.ledgerOf(0).runsByKey.size() - before);
    CHECK(tried > 0);
    CHECK(tried < kCalls / 4);
    CHECK(served == kCalls - tried); // the rest: 502, having run there once
    for (int i = 0; i < kCalls; ++i) {
      CHECK(system.runsOf("order-" + std::to_string(i)) == 1);
    }
    // Callers of lookups don't notice it.
    for (int i = 0; i < kCalls; ++i) {
      CHECK(isServed(caller, "GET", "lookup-" + std::to_string(i)));
    }
  }
}

TEST_CASE("an answer after a switch to another protocol does not reach the caller")
{
  GatewaySystem system(1, 2);
  REQUIRE(system.start());
  checkNotPassedOn(system,
                   { "101 that nobody asked for",
                     "HTTP/1.1 101 Odd\r\nUpgrade: odd\r\nConnection: upgrade\r\n\r\n" +
                       withLine("X-Odd: 1\r\n") });
}

TEST_CASE("logs and masticwallctl say which upstream broke an answer, and how")
{
  struct LoggedAnswer
  {
    const char* detail;
    QByteArray answer;
  };
  const QByteArray head = "HTTP/1.1 200 OK\r\n{signs}";
  const std::vector<LoggedAnswer> cases{
    { "bad-status", withStatus("000") },
    { "bad-field", withLine("X Odd: 1\r\n") },
    { "folded-field", withLine("X-Odd: 1\r\n 2\r\n") },
    { "unknown-transfer-coding", withLine("Transfer-Encoding: gzip\r\n") },
    { "bad-framing", withLine("Content-Length: 2\r\n") },
    { "body-too-large", head + "Content-Length: 99999999\r\n\r\n" },
    { "malformed", "no HTTP\r\n\r\n" },
  };
  GatewaySystem system(1, 1);
  REQUIRE(system.start());
  for (const auto& it : cases) {
    CAPTURE(it.detail);
    const auto id = std::string("odd-") + it.detail;
    CHECK(statusOf(system.call(0, "POST", "/order/1", id, askFor(it.answer))) == 502);
    const auto story = system.explain(id);
    CAPTURE(story.toStdString());
    CHECK(story.contains(
      QStringLiteral("upstream=i-0 error=bad-answer may_have_run=yes detail=%1")
        .arg(QString::fromLatin1(it.detail))));
    CHECK(story.contains(QStringLiteral("outcome=unknown reason=upstream-failed")));
  }
  // An answer to a load query has no id that could be explained.
  const QByteArray health = "HTTP/1.1 200 OK\r\nX: 1\r\n 2\r\nContent-Length: 0\r\n\r\n";
  system.gateway(0).standardOutput();
  system.setUpstream(
    0, "hide_load=1&raw_health=" + health.toPercentEncoding().toStdString());
  QString log;
  CHECK(waitUntil([&] {
    system.call(0, "GET", "/read/1", "query");
    log += system.gateway(0).standardOutput();
    return log.contains(
      QStringLiteral("event=load-query-failed upstream=i-0 detail=folded-field"));
  }));
}
