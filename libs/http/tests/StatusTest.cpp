#include <catch2/catch.hpp>
#include <http/Serializer.h>
#include <http/Status.h>
#include <limits>

using namespace masticwall;
using http::Status;

TEST_CASE("only the status codes of final responses are statuses")
{
  for (const std::int64_t code : { 200, 299, 418, 503, 599 }) {
    CAPTURE(code);
    CHECK(Status::fromCode(code).value() == code);
  }
  for (const std::int64_t code : { std::numeric_limits<std::int64_t>::min(),
                                   std::int64_t{ -200 },
                                   std::int64_t{ 0 },
                                   std::int64_t{ 99 },
                                   std::int64_t{ 100 },
                                   std::int64_t{ 199 },
                                   std::int64_t{ 600 },
                                   std::int64_t{ 999 },
                                   (std::int64_t{ 1 } << 32) + 200 }) {
    CAPTURE(code);
    CHECK(Status::fromCode(code).error() == HttpError::BadStatus);
  }
}

TEST_CASE("every response that can be written states its length, but for 204 and 304")
{
  for (int code = 200; code <= 599; ++code) {
    CAPTURE(code);
    http::Response response;
    response.status = Status::fromCode(code).value();
    response.body = "body";
    const auto bytes = http::serialize(response, false, false);
    CHECK(bytes.startsWith("HTTP/1.1 " + QByteArray::number(code) + ' '));
    const bool hasBody = code != 204 && code != 304;
    CHECK(bytes.contains("Content-Length: 4\r\n") == hasBody);
    CHECK(bytes.endsWith("\r\n\r\nbody") == hasBody);
  }
}
