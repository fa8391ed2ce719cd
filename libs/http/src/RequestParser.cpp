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
  std::shared_ptr<ByteBudget> bodies;
  std::shared_ptr<BodyReservation> reservation;

  /** Feeds the parser up to the end of the head. */
  std::error_code feedHead(QByteArray& aBytes)
  {
    boost::system::error_code ec;
    qsizetype consumed = 0;
    parser.eager(false); // stops at the end of the head
    while (consumed < aBytes.size() && !parser.is_header_done() && !ec) {
      const boost::asio::const_buffer buf(
        aBytes.constData() + consumed,
        static_cast<std::size_t>(aBytes.size() - consumed));
      consumed += static_cast<qsizetype>(parser.put(buf, ec));
    }
    parser.eager(true);
    aBytes.remove(0, consumed);
    if (ec && ec != beast::error::need_more) {
      return toHttpError(ec);
    }
    return parser.is_header_done() ? checkHead() : std::error_code();
  }

  std::error_code checkHead()
  {
    if (const auto error = checkFraming(parser.get())) {
      return *error;
    }
    const auto length = parser.content_length();
    if (length && *length > limits.maxBodyBytes) {
      return HttpError::BodyTooLarge;
    }
    if (bodies != nullptr && (length.value_or(0) > 0 || parser.chunked())) {
      reservation = std::make_shared<BodyReservation>(bodies);
      return reserve(length.value_or(0));
    }
    return {};
  }

  std::error_code reserve(std::uint64_t aBytes)
  {
    const bool hasRoom = reservation == nullptr || reservation->tryGrowTo(aBytes);
    return hasRoom ? std::error_code() : HttpError::NoRoom;
  }

  std::error_code feed(QByteArray& aBytes)
  {
    if (!parser.is_header_done()) {
      const auto headError = feedHead(aBytes);
      if (headError || !parser.is_header_done()) {
        return headError;
      }
    }
    const auto ec = feedParser(parser, aBytes);
    return ec ? toHttpError(ec) : reserve(parser.get().body().size());
  }

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
    request.reservation = std::move(reservation);
    return request;
  }
};

RequestParser::RequestParser(const MessageLimits& aLimits,
                             std::shared_ptr<ByteBudget> aBodies)
  : mImpl(std::make_unique<Impl>())
{
  mImpl->limits = aLimits;
  mImpl->bodies = std::move(aBodies);
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
  if (const auto error = mImpl->feed(aBytes)) {
    return error;
  }
  if (mImpl->parser.is_header_done()) {
    if (const auto error = checkFraming(mImpl->parser.get())) {
      return *error; // Beast adds a trailer's fields to those of the head
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
