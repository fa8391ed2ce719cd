#include "BeastMessage.h"
#include <algorithm>
#include <http/RequestParser.h>

namespace masticwall::http {

namespace {

/** Beast can't store longer field names and values. */
constexpr std::uint32_t kMaxHeaderBytes = 60 * kKiB;

constexpr std::string_view kHttpScheme = "http://";

/** Changes the absolute form of the target, which is meant for proxies, to the origin
 * form and a Host field. Returns false if the target is neither. */
bool
toOriginForm(Request& aRequest)
{
  auto& target = aRequest.target;
  if (target.starts_with('/')) {
    return true;
  }
  const auto scheme = target.substr(0, kHttpScheme.size());
  if (!boost::beast::iequals(scheme, kHttpScheme.data())) {
    return false;
  }
  const auto end =
    std::min(target.find_first_of("/?", kHttpScheme.size()), target.size());
  const auto authority = target.substr(kHttpScheme.size(), end - kHttpScheme.size());
  const auto path = target.substr(end);
  if (authority.empty() || authority.find('@') != authority.npos) {
    return false;
  }
  removeHeader(aRequest.headers, "Host");
  aRequest.headers.push_back({ "Host", authority });
  target = path.starts_with('/') ? path : '/' + path;
  return true;
}

} // namespace

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
  mImpl->parser.header_limit(std::min(aLimits.maxHeaderBytes, kMaxHeaderBytes));
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
  if (mImpl->parser.is_header_done()) {
    if (const auto error = checkFraming(mImpl->parser.get())) {
      return *error;
    }
  }
  if (isLineTooLong(mImpl->parser, aBytes, mImpl->limits)) {
    return HttpError::HeaderTooLarge;
  }
  if (!mImpl->parser.is_done()) {
    return std::optional<Request>();
  }
  auto request = mImpl->releaseRequest();
  const bool isTraceWithBody = request.method == "TRACE" && !request.body.empty();
  if (isTraceWithBody || !toOriginForm(request)) {
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
