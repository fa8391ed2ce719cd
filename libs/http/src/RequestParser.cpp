#include "BeastMessage.h"
#include <http/RequestParser.h>

namespace masticwall::http {

struct RequestParser::Impl
{
  beast::request_parser<beast::string_body> parser;
  MessageLimits limits;

  Request releaseRequest()
  {
    auto message = parser.release();
    Request request;
    request.method = toString(message.method_string());
    request.target = toString(message.target());
    request.headers = endToEndHeaders(message);
    request.keepAlive = message.keep_alive();
    request.isHttp10 = message.version() < 11;
    request.body = std::move(message.body());
    return request;
  }
};

RequestParser::RequestParser(const MessageLimits& aLimits)
  : mImpl(std::make_unique<Impl>())
{
  mImpl->limits = aLimits;
  mImpl->parser.eager(true);
  mImpl->parser.header_limit(aLimits.maxHeaderBytes);
  mImpl->parser.body_limit(aLimits.maxBodyBytes);
}

RequestParser::~RequestParser() = default;
RequestParser::RequestParser(RequestParser&&) noexcept = default;
RequestParser&
RequestParser::operator=(RequestParser&&) noexcept = default;

Result<std::optional<Request>>
RequestParser::feed(QByteArray& aBytes)
{
  const auto ec = feedParser(mImpl->parser, aBytes);
  if (ec) {
    return toHttpError(ec);
  }
  if (isLineTooLong(mImpl->parser, aBytes, mImpl->limits)) {
    return HttpError::HeaderTooLarge;
  }
  if (!mImpl->parser.is_done()) {
    return std::optional<Request>();
  }
  auto request = mImpl->releaseRequest();
  if (!request.target.starts_with('/')) {
    return HttpError::Malformed;
  }
  return std::optional(std::move(request));
}

bool
RequestParser::wantsContinue() const
{
  if (!mImpl->parser.is_header_done() || mImpl->parser.is_done()) {
    return false;
  }
  const auto expect = mImpl->parser.get()[beast::field::expect];
  return boost::beast::iequals(expect, "100-continue");
}

} // namespace masticwall::http
