#include <algorithm>
#include <catch2/catch.hpp>
#include <http/HttpError.h>
#include <http/RequestParser.h>
#include <http/Serializer.h>
#include <optional>
#include <vector>

using namespace masticwall;
using namespace masticwall::http;

// Guards against a body that is read as a request of its own, and against requests that
// this process can't write. The cases follow RFC 9112.

namespace {

const QByteArray kHidden = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";

/** What a connection's parser makes of the bytes. */
struct Parsed
{
  std::vector<Request> requests;
  std::error_code error;

  bool hasHidden() const
  {
    return std::any_of(requests.begin(), requests.end(), [](const Request& aRequest) {
      return aRequest.target == "/hidden";
    });
  }
};

Parsed
parse(const QByteArray& aBytes, qsizetype aPieceBytes)
{
  Parsed parsed;
  QByteArray buf;
  std::optional<RequestParser> parser;
  for (qsizetype i = 0; i < aBytes.size(); i += aPieceBytes) {
    buf += aBytes.mid(i, aPieceBytes);
    while (!buf.isEmpty()) {
      if (!parser.has_value()) {
        parser.emplace(MessageLimits{});
      }
      auto request = parser->feed(buf);
      if (request.has_error()) {
        parsed.error = request.error();
        return parsed;
      }
      if (!request.value().has_value()) {
        break;
      }
      parsed.requests.push_back(std::move(*request.value()));
      parser.reset();
    }
  }
  return parsed;
}

struct Case
{
  const char* name;
  QByteArray head; ///< the fields that are tested
  HttpError error;
};

std::vector<Case>
rejectedCases()
{
  return {
    { "another coding behind chunked",
      "Transfer-Encoding: chunked, identity\r\n",
      HttpError::Malformed },
    { "another coding before chunked",
      "Transfer-Encoding: gzip, chunked\r\n",
      HttpError::Malformed },
    { "an unknown coding",
      "Transfer-Encoding: xchunked\r\n",
      HttpError::UnknownTransferCoding },
    { "a known coding that is not supported",
      "Transfer-Encoding: gzip\r\n",
      HttpError::UnknownTransferCoding },
    { "identity", "Transfer-Encoding: identity\r\n", HttpError::UnknownTransferCoding },
    { "chunked twice", "Transfer-Encoding: chunked, chunked\r\n", HttpError::Malformed },
    { "chunked in two fields",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
      HttpError::Malformed },
    { "two fields, one unknown",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
      HttpError::Malformed },
    { "a parameter", "Transfer-Encoding: chunked;x=1\r\n", HttpError::Malformed },
    { "no coding", "Transfer-Encoding:\r\n", HttpError::Malformed },
    { "both lengths",
      "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
      HttpError::Malformed },
    { "both lengths, the other order",
      "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
      HttpError::Malformed },
    { "two lengths", "Content-Length: 4\r\nContent-Length: 5\r\n", HttpError::Malformed },
    { "a list of lengths", "Content-Length: 4, 5\r\n", HttpError::Malformed },
    { "a negative length", "Content-Length: -1\r\n", HttpError::Malformed },
    { "a length with a sign", "Content-Length: +4\r\n", HttpError::Malformed },
    { "a length that is no number", "Content-Length: four\r\n", HttpError::Malformed },
    { "a length in hex", "Content-Length: 0x4\r\n", HttpError::Malformed },
    { "a length beyond all numbers",
      "Content-Length: 99999999999999999999\r\n",
      HttpError::Malformed },
    { "white space before the colon", "Content-Length : 4\r\n", HttpError::Malformed },
    { "a bare line feed in a value",
      "X: a\nContent-Length: 4\r\n",
      HttpError::Malformed },
    { "a carriage return in a value", "X: a\rb\r\n", HttpError::Malformed },
    { "a field without a colon", "no field\r\n", HttpError::Malformed },
    { "a null byte", QByteArray("X: a\0b\r\n", 8), HttpError::Malformed },
  };
}

QByteArray
makeRequest(const QByteArray& aHead)
{
  return "POST /first HTTP/1.1\r\nHost: h\r\n" + aHead + "\r\n" + kHidden;
}

} // namespace

TEST_CASE("a request whose framing is in doubt is rejected, and its body is not read")
{
  for (const auto& it : rejectedCases()) {
    CAPTURE(it.name);
    for (const qsizetype piece : { 1, 7, 10'000 }) {
      CAPTURE(piece);
      const auto parsed = parse(makeRequest(it.head), piece);
      CHECK_FALSE(parsed.hasHidden());
      CHECK(parsed.requests.empty());
      CHECK(parsed.error == it.error);
    }
  }
}

TEST_CASE("requests with clear framing are read whole")
{
  for (const auto& head : { QByteArray("Transfer-Encoding: chunked\r\n"),
                            QByteArray("Transfer-Encoding: Chunked\r\n"),
                            QByteArray("Transfer-Encoding:  chunked  \r\n") }) {
    CAPTURE(head.toStdString());
    for (const qsizetype piece : { 1, 10'000 }) {
      const auto size = QByteArray::number(kHidden.size(), 16);
      const auto parsed = parse("POST /first HTTP/1.1\r\nHost: h\r\n" + head + "\r\n" +
                                  size + "\r\n" + kHidden + "\r\n0\r\n\r\n",
                                piece);
      REQUIRE_FALSE(parsed.error);
      REQUIRE(parsed.requests.size() == 1);
      CHECK(parsed.requests[0].body == kHidden.toStdString());
    }
  }
  const auto parsed = parse(
    makeRequest("Content-Length: " + QByteArray::number(kHidden.size()) + "\r\n"), 3);
  REQUIRE(parsed.requests.size() == 1);
  CHECK(parsed.requests[0].body == kHidden.toStdString());
}

TEST_CASE("a transfer coding in HTTP/1.0 is rejected")
{
  const auto parsed = parse("POST /first HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n" +
                              QByteArray("0\r\n\r\n") + kHidden,
                            10'000);
  CHECK(parsed.error == HttpError::Malformed);
  CHECK_FALSE(parsed.hasHidden());
}

TEST_CASE("a TRACE request with a body is rejected, one without is written")
{
  const auto rejected =
    parse("TRACE /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", 10'000);
  CHECK(rejected.error == HttpError::Malformed);
  const auto parsed = parse("TRACE /a HTTP/1.1\r\nHost: h\r\n\r\n", 10'000);
  REQUIRE(parsed.requests.size() == 1);
  CHECK(serialize(parsed.requests[0]).startsWith("TRACE /a HTTP/1.1\r\n"));
}

TEST_CASE("requests of any method, with and without a body, can be written")
{
  for (const auto* const method : { "GET",
                                    "HEAD",
                                    "POST",
                                    "PUT",
                                    "PATCH",
                                    "DELETE",
                                    "OPTIONS",
                                    "TRACE",
                                    "CONNECT",
                                    "PURGE",
                                    "X-OWN" }) {
    for (const auto* const body : { "", "abc" }) {
      CAPTURE(method, body);
      Request request;
      request.method = method;
      request.target = "/a";
      request.headers = { { "Host", "h" } };
      request.body = body;
      QByteArray bytes;
      REQUIRE_NOTHROW(bytes = serialize(request));
      CHECK(bytes.startsWith(QByteArray(method) + " /a HTTP/1.1\r\n"));
      CHECK(bytes.endsWith(QByteArray("\r\n\r\n") + body));
      CHECK(bytes.contains("Content-Length: 3") == (std::string(body) == "abc"));
    }
  }
}

TEST_CASE("a target in absolute form is read as its path, and names the host")
{
  const auto parsed =
    parse("GET http://own.example:80/a?b=c HTTP/1.1\r\nHost: other\r\n\r\n"
          "GET HTTP://own.example HTTP/1.1\r\nHost: other\r\n\r\n"
          "GET http://own.example?q HTTP/1.1\r\n\r\n",
          10'000);
  REQUIRE(parsed.requests.size() == 3);
  CHECK(parsed.requests[0].target == "/a?b=c");
  CHECK(parsed.requests[1].target == "/");
  CHECK(parsed.requests[2].target == "/?q");
  CHECK(findHeader(parsed.requests[0].headers, "Host") == "own.example:80");
  for (const auto& it : parsed.requests) {
    CHECK(findHeader(it.headers, "Host").starts_with("own.example"));
  }
  for (const auto* const it :
       { "http:///a", "https://h/a", "ftp://h/a", "*", "h:80", "http://user@h/a" }) {
    CAPTURE(it);
    const auto rejected =
      parse("GET " + QByteArray(it) + " HTTP/1.1\r\nHost: h\r\n\r\n", 10'000);
    CHECK(rejected.error == HttpError::Malformed);
  }
}

TEST_CASE("a field that is too long for the parser's memory is rejected, not thrown")
{
  MessageLimits limits;
  limits.maxHeaderBytes = 1024 * 1024;
  RequestParser parser(limits);
  QByteArray bytes =
    "GET /a HTTP/1.1\r\n" + QByteArray(200'000, 'x') + ": 1\r\nHost: h\r\n\r\n";
  Result<std::optional<Request>> result = std::optional<Request>();
  REQUIRE_NOTHROW(result = parser.feed(bytes));
  CHECK(result.has_error());
}
