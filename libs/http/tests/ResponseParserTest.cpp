#include <catch2/catch.hpp>
#include <http/ResponseParser.h>
#include <vector>

using namespace masticwall;
using namespace masticwall::http;

// What is accepted of a response and what is not, by RFC 9110 (15) and RFC 9112 (4 to 7).

namespace {

constexpr MessageLimits kLimits{ 4096, 4096 };

/** Feeds the bytes whole, or one by one; both must come to the same. */
Result<std::optional<Response>>
parse(const QByteArray& aBytes, qsizetype aStep)
{
  ResponseParser parser(kLimits, false, true);
  QByteArray buf;
  Result<std::optional<Response>> result = std::optional<Response>();
  for (qsizetype at = 0; at < aBytes.size(); at += aStep) {
    buf += aBytes.mid(at, aStep);
    result = parser.feed(buf);
    if (result.has_error() || result.value().has_value()) {
      return result;
    }
  }
  return result;
}

struct Rejected
{
  QByteArray bytes;
  HttpError error;
};

void
checkRejected(const std::vector<Rejected>& aCases)
{
  for (const auto& it : aCases) {
    for (const auto step : { it.bytes.size(), qsizetype{ 1 } }) {
      CAPTURE(it.bytes.toStdString(), step);
      const auto result = parse(it.bytes, step);
      REQUIRE(result.has_error());
      CHECK(result.error() == it.error);
    }
  }
}

struct Accepted
{
  QByteArray bytes;
  int status;
  std::string body;
  HeaderList headers;
};

void
checkAccepted(const std::vector<Accepted>& aCases)
{
  for (const auto& it : aCases) {
    for (const auto step : { it.bytes.size(), qsizetype{ 1 } }) {
      CAPTURE(it.bytes.toStdString(), step);
      const auto result = parse(it.bytes, step);
      REQUIRE(result.has_value());
      REQUIRE(result.value().has_value());
      const auto& response = *result.value();
      CHECK(response.status == it.status);
      CHECK(response.body == it.body);
      REQUIRE(response.headers.size() == it.headers.size());
      for (std::size_t i = 0; i < it.headers.size(); ++i) {
        CHECK(response.headers[i].name == it.headers[i].name);
        CHECK(response.headers[i].value == it.headers[i].value);
      }
    }
  }
}

const QByteArray kOk = "HTTP/1.1 200 OK\r\n";
const QByteArray kEmpty = "Content-Length: 0\r\n\r\n";

} // namespace

TEST_CASE("a status line is rejected unless it has a known version and a final status")
{
  checkRejected({
    { "HTTP/1.1 000 Odd\r\n" + kEmpty, HttpError::BadStatus },
    { "HTTP/1.1 099 Odd\r\n" + kEmpty, HttpError::BadStatus },
    { "HTTP/1.1 600 Odd\r\n" + kEmpty, HttpError::BadStatus },
    { "HTTP/1.1 999 Odd\r\n" + kEmpty, HttpError::BadStatus },
    { "HTTP/1.1 101 Odd\r\n\r\n" + kOk + kEmpty, HttpError::BadStatus },
    { "HTTP/1.1 20 OK\r\n" + kEmpty, HttpError::BadStatus },
    { "HTTP/1.1 2000 OK\r\n" + kEmpty, HttpError::BadStatus },
    { "HTTP/1.1 -20 OK\r\n" + kEmpty, HttpError::BadStatus },
    { "HTTP/1.1 2x0 OK\r\n" + kEmpty, HttpError::BadStatus },
    { "HTTP/1.1  200 OK\r\n" + kEmpty, HttpError::BadStatus },
    { "HTTP/1.1 200\r\n" + kEmpty, HttpError::BadStatus },
    { "HTTP/1.1 200 O\x01K\r\n" + kEmpty, HttpError::Malformed },
    { "HTTP/1.1 200 OK\n" + kEmpty, HttpError::Malformed },
    { "HTTP/2.0 200 OK\r\n" + kEmpty, HttpError::Malformed },
    { "HTTP/0.9 200 OK\r\n" + kEmpty, HttpError::Malformed },
    { "HTTP/1.2 200 OK\r\n" + kEmpty, HttpError::Malformed },
    { "http/1.1 200 OK\r\n" + kEmpty, HttpError::Malformed },
    { "\r\nHTTP/1.1 200 OK\r\n" + kEmpty, HttpError::Malformed },
  });
  checkAccepted({
    { "HTTP/1.1 200 \r\n" + kEmpty, 200, "", {} },
    { "HTTP/1.0 299 Odd one\r\n" + kEmpty, 299, "", {} },
    { "HTTP/1.1 599 \r\n" + kEmpty, 599, "", {} },
  });
}

TEST_CASE("a head is rejected if one of its lines is no field")
{
  const auto withLine = [](const QByteArray& aLine) { return kOk + aLine + kEmpty; };
  checkRejected({
    { withLine("X Y: 1\r\n"), HttpError::BadField },
    { withLine("X : 1\r\n"), HttpError::BadField },
    { withLine("X\t: 1\r\n"), HttpError::BadField },
    { withLine(QByteArray("X\0: 1\r\n", 7)), HttpError::BadField },
    { withLine("X\x01: 1\r\n"), HttpError::BadField },
    { withLine("X\x7f: 1\r\n"), HttpError::BadField },
    { withLine("X\x80: 1\r\n"), HttpError::BadField },
    { withLine("X/Y: 1\r\n"), HttpError::BadField },
    { withLine(": 1\r\n"), HttpError::BadField },
    { withLine("X\r\n"), HttpError::BadField },
    { withLine("X: 1\r2\r\n"), HttpError::Malformed },
    { withLine("X: 1\nY: 2\r\n"), HttpError::BadField },
    { withLine("X: \x01\r\n"), HttpError::BadField },
    { withLine(QByteArray("X: \0\r\n", 6)), HttpError::BadField },
    { withLine(" X: 1\r\n"), HttpError::BadField }, // the first line continues none
    { withLine("X: 1\r\n Y: 2\r\n"), HttpError::FoldedField },
    { withLine("X: 1\r\n\tY: 2\r\n"), HttpError::FoldedField },
    { withLine("X:\r\n 1\r\n"), HttpError::FoldedField },
    { withLine("X: 1\r\n \r\n"), HttpError::FoldedField },
    { withLine("X: 1\r\n 2\r\n 3\r\n"), HttpError::FoldedField },
    { kOk + "Content-Length: 0\r\nX: 1\r\n 2\r\n\r\n", HttpError::FoldedField },
    { "HTTP/1.1 103 Odd\r\nX: 1\r\n 2\r\n\r\n" + kOk + kEmpty, HttpError::FoldedField },
  });
  checkAccepted({
    { withLine("X:1\r\n"), 200, "", { { "X", "1" } } },
    { withLine("X: \t 1 \t\r\n"), 200, "", { { "X", "1" } } },
    { withLine("X:\r\n"), 200, "", { { "X", "" } } },
    { withLine("X: a\tb \x80\r\n"), 200, "", { { "X", "a\tb \x80" } } },
    { withLine("!#$%&'*+-.^_`|~0aZ: 1\r\n"), 200, "", { { "!#$%&'*+-.^_`|~0aZ", "1" } } },
    // Lines of the body are no lines of the head.
    { kOk + "Content-Length: 6\r\n\r\n\r\n \r\n\t", 200, "\r\n \r\n\t", {} },
  });
}

TEST_CASE("interim responses are skipped, also those whose status is not known")
{
  checkAccepted({
    { "HTTP/1.1 100 Continue\r\n\r\n" + kOk + kEmpty, 200, "", {} },
    { "HTTP/1.1 150 Odd\r\nX: 1\r\n\r\n" + kOk + kEmpty, 200, "", {} },
    { "HTTP/1.1 199 Odd\r\n\r\n" + kOk + kEmpty, 200, "", {} },
  });
}

TEST_CASE("a response is rejected if its end or its coding is not known")
{
  const auto withFraming = [](const QByteArray& aLines, const QByteArray& aBody = "") {
    return kOk + aLines + "\r\n" + aBody;
  };
  const QByteArray chunked = "Transfer-Encoding: chunked\r\n";
  checkRejected({
    { withFraming("Transfer-Encoding: gzip\r\n"), HttpError::UnknownTransferCoding },
    { withFraming("Transfer-Encoding: identity\r\n"), HttpError::UnknownTransferCoding },
    { withFraming("Transfer-Encoding: xchunked\r\n"), HttpError::UnknownTransferCoding },
    { withFraming("Transfer-Encoding: gzip, chunked\r\n"), HttpError::BadFraming },
    { withFraming("Transfer-Encoding: chunked, gzip\r\n"), HttpError::BadFraming },
    { withFraming("Transfer-Encoding: chunked, chunked\r\n"), HttpError::BadFraming },
    { withFraming("Transfer-Encoding: chunked;x=1\r\n"), HttpError::BadFraming },
    { withFraming("Transfer-Encoding:\r\n"), HttpError::BadFraming },
    { withFraming("Transfer-Encoding: gzip\r\n" + chunked), HttpError::BadFraming },
    { withFraming(chunked + chunked), HttpError::BadFraming },
    { withFraming(chunked + "Content-Length: 0\r\n"), HttpError::BadFraming },
    { withFraming("Content-Length: 0\r\n" + chunked), HttpError::BadFraming },
    { withFraming("Transfer-Encoding: gzip\r\nContent-Length: 0\r\n"),
      HttpError::UnknownTransferCoding },
    { "HTTP/1.0 200 OK\r\n" + chunked + "\r\n", HttpError::BadFraming },
    { withFraming("Content-Length: 1\r\nContent-Length: 2\r\n"), HttpError::BadFraming },
    { withFraming("Content-Length: 1, 2\r\n"), HttpError::BadFraming },
    { withFraming("Content-Length: 1,\r\n"), HttpError::BadFraming },
    { withFraming("Content-Length:\r\n"), HttpError::BadFraming },
    { withFraming("Content-Length: +1\r\n"), HttpError::BadFraming },
    { withFraming("Content-Length: -1\r\n"), HttpError::BadFraming },
    { withFraming("Content-Length: 0x1\r\n"), HttpError::BadFraming },
    { withFraming("Content-Length: 1 2\r\n"), HttpError::BadFraming },
    { withFraming("Content-Length: 18446744073709551616\r\n"), HttpError::BadFraming },
    { withFraming("Content-Length: 4097\r\n"), HttpError::BodyTooLarge },
    // With bytes of the body behind the head: Beast goes on and reserves such a length.
    { withFraming("Content-Length: 99999999999\r\n", "x"), HttpError::BodyTooLarge },
    { withFraming(chunked, "x\r\n"), HttpError::BadFraming },
    { withFraming(chunked, "-1\r\n"), HttpError::BadFraming },
    { withFraming(chunked, " 1\r\n"), HttpError::BadFraming },
    { withFraming(chunked, "\r\n"), HttpError::BadFraming },
    { withFraming(chunked, "1\nx\r\n0\r\n\r\n"), HttpError::BadFraming },
    { withFraming(chunked, "10000000000000001\r\n"), HttpError::BadFraming },
    { withFraming(chunked, "1001\r\n"), HttpError::BodyTooLarge },
    { withFraming(chunked, "1\r\nxx\r\n0\r\n\r\n"), HttpError::BadFraming },
    { withFraming(chunked, "0\r\nX Y: 1\r\n\r\n"), HttpError::BadField },
  });
  checkAccepted({
    { withFraming("Content-Length: 1\r\nContent-Length: 1\r\n", "x"), 200, "x", {} },
    { withFraming("Content-Length: 1, 1\r\n", "x"), 200, "x", {} },
    { withFraming("Transfer-Encoding: Chunked\r\n", "1\r\nx\r\n0\r\n\r\n"),
      200,
      "x",
      {} },
    { withFraming(chunked, "001;a=b;c=\"d\"\r\nx\r\nA;e\r\n0123456789\r\n0\r\n\r\n"),
      200,
      "x0123456789",
      {} },
    // These have no body, whatever their fields say.
    { "HTTP/1.1 204 None\r\nContent-Length: 5\r\n\r\n", 204, "", {} },
    { "HTTP/1.1 304 None\r\nContent-Length: 5\r\n\r\n", 304, "", {} },
    { "HTTP/1.1 204 None\r\n" + chunked + "\r\n", 204, "", {} },
  });
}

TEST_CASE("the fields of a trailer are dropped")
{
  const auto withTrailer = [](const QByteArray& aFields) {
    return kOk + "X: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + aFields +
           "\r\n";
  };
  checkAccepted({
    { withTrailer("Y: 2\r\n"), 200, "x", { { "X", "1" } } },
    { withTrailer("X: 2\r\n"), 200, "x", { { "X", "1" } } },
    { withTrailer("Y: 2\r\n 3\r\n"), 200, "x", { { "X", "1" } } },
  });
  const auto result =
    parse(withTrailer("Connection: close\r\nKeep-Alive: timeout=1\r\n"), 1);
  REQUIRE(result.has_value());
  CHECK(result.value()->keepAlive);
  CHECK_FALSE(result.value()->keepAliveTimeout.has_value());
}
