#include "BeastMessage.h"
#include <algorithm>
#include <array>
#include <charconv>
#include <http/ResponseParser.h>
#include <utility>

namespace masticwall::http {

namespace {

/** An upstream that sends more interim (1xx) responses than this to one request is
 * failing. */
constexpr int kMaxInterimResponses = 8;

/** Limit of the bytes of a response, as a multiple of the limit of its body: the framing
 * of one-byte chunks takes five bytes each. */
constexpr std::uint64_t kMaxFramingFactor = 8;

/** The "timeout" parameter of a Keep-Alive field, in seconds. */
std::optional<Duration>
parseKeepAliveTimeout(const std::string& aField)
{
  constexpr std::string_view kParameter = "timeout=";
  const auto at = aField.find(kParameter);
  int seconds = 0;
  if (at == std::string::npos) {
    return std::nullopt;
  }
  const auto* const begin = aField.data() + at + kParameter.size();
  const auto [end, ec] = std::from_chars(begin, aField.data() + aField.size(), seconds);
  return ec == std::errc() && seconds > 0 ? std::optional<Duration>(1s * seconds)
                                          : std::nullopt;
}

/** As toHttpError(), but tells what is malformed. */
HttpError
toResponseError(const boost::system::error_code& aCode)
{
  using beast::error;
  static constexpr std::array<std::pair<error, HttpError>, 7> kErrors{ {
    { error::bad_status, HttpError::BadStatus },
    { error::bad_field, HttpError::BadField },
    { error::bad_value, HttpError::BadField },
    { error::bad_content_length, HttpError::BadFraming },
    { error::bad_transfer_encoding, HttpError::BadFraming },
    { error::bad_chunk, HttpError::BadFraming },
    { error::bad_chunk_extension, HttpError::BadFraming },
  } };
  for (const auto& [code, error] : kErrors) {
    if (aCode == code) {
      return error;
    }
  }
  return toHttpError(aCode);
}

/** Whether a line begins with a blank or a tab, and so continues the one before it. */
bool
hasFoldedLine(std::string_view aLines)
{
  return std::adjacent_find(aLines.begin(), aLines.end(), [](char aLeft, char aRight) {
           return aLeft == '\n' && (aRight == ' ' || aRight == '\t');
         }) != aLines.end();
}

/**
 * Feeds a parser from the front of `aBytes` up to the end of the head, and removes the
 * bytes that it consumed. A continued line is rejected: Beast joins it to the one before,
 * where it hides a field or what is none. Beast consumes a line only together with those
 * that continue it.
 */
template<class Parser>
std::error_code
feedHead(Parser& aParser, QByteArray& aBytes)
{
  boost::system::error_code ec;
  qsizetype consumed = 0;
  while (consumed < aBytes.size() && !aParser.is_header_done() && !ec) {
    const auto* const begin = aBytes.constData() + consumed;
    const boost::asio::const_buffer buf(
      begin, static_cast<std::size_t>(aBytes.size() - consumed));
    const auto n = aParser.put(buf, ec);
    consumed += static_cast<qsizetype>(n);
    if (hasFoldedLine({ begin, n })) {
      return HttpError::FoldedField;
    }
  }
  aBytes.remove(0, consumed);
  return ec && ec != beast::error::need_more ? toResponseError(ec) : std::error_code();
}

} // namespace

struct ResponseParser::Impl
{
  using Parser = beast::response_parser<beast::string_body>;

  MessageLimits limits;
  bool isHead = false;
  bool mayBeCloseDelimited = false;
  std::optional<Parser> parser;
  Response head; ///< without the body, once the head is complete and not interim
  int interimResponses = 0;
  std::uint64_t bytesParsed = 0;

  std::uint64_t maxBytes() const
  {
    return (kMaxInterimResponses + 1) * std::uint64_t{ limits.maxHeaderBytes } +
           kMaxFramingFactor * limits.maxBodyBytes;
  }

  void reset()
  {
    parser.emplace();
    parser->skip(isHead);
    parser->header_limit(limits.maxHeaderBytes);
    parser->body_limit(limits.maxBodyBytes);
  }

  std::error_code feed(QByteArray& aBytes)
  {
    if (!parser->is_header_done()) {
      parser->eager(false); // stops at the end of the head
      auto headError = feedHead(*parser, aBytes);
      if (!headError && parser->is_header_done()) {
        headError = readHead();
      }
      if (headError || !parser->is_header_done()) {
        return headError;
      }
      parser->eager(true);
    }
    const auto ec = feedParser(*parser, aBytes);
    return ec ? toResponseError(ec) : std::error_code();
  }

  bool isInterim() const
  {
    // What follows 101 is of another protocol, which no request of ours asks for.
    constexpr unsigned kSwitchingProtocols = 101;
    const auto code = parser->get().result_int();
    return code >= 100 && code < 200 && code != kSwitchingProtocols;
  }

  bool isCloseDelimited() const
  {
    const auto& message = parser->get();
    const auto status = message.result();
    const bool hasNoBody = isHead || status == beast::status::no_content ||
                           status == beast::status::not_modified;
    return !hasNoBody && !parser->chunked() && !parser->content_length();
  }

  /** Checks and reads the head while it is all that the parser has: Beast adds a
   * trailer's fields to those of the head. */
  std::error_code readHead()
  {
    const auto& message = parser->get();
    if (const auto error = checkFraming(message)) {
      return *error == HttpError::Malformed ? HttpError::BadFraming : *error;
    }
    if (isInterim()) {
      return {};
    }
    const auto status = Status::fromCode(message.result_int());
    if (status.has_error()) {
      return status.error();
    }
    head.status = status.value();
    head.headers = endToEndHeaders(message);
    head.keepAlive = message.keep_alive();
    head.keepAliveTimeout =
      parseKeepAliveTimeout(toString(message[beast::field::keep_alive]));
    return {};
  }

  Response releaseResponse()
  {
    auto response = std::move(head);
    response.body = std::move(parser->release().body());
    return response;
  }
};

ResponseParser::ResponseParser(const MessageLimits& aLimits,
                               bool aIsHead,
                               bool aMayBeCloseDelimited)
  : mImpl(std::make_unique<Impl>())
{
  mImpl->limits = aLimits;
  mImpl->isHead = aIsHead;
  mImpl->mayBeCloseDelimited = aMayBeCloseDelimited;
  mImpl->reset();
}

ResponseParser::~ResponseParser() = default;
ResponseParser::ResponseParser(ResponseParser&&) noexcept = default;
ResponseParser&
ResponseParser::operator=(ResponseParser&&) noexcept = default;

Result<std::optional<Response>>
ResponseParser::feed(QByteArray& aBytes)
{
  while (true) {
    const auto size = aBytes.size();
    if (const auto ec = mImpl->feed(aBytes)) {
      return ec;
    }
    mImpl->bytesParsed += static_cast<std::uint64_t>(size - aBytes.size());
    if (mImpl->bytesParsed > mImpl->maxBytes()) {
      return HttpError::BodyTooLarge;
    }
    if (isLineTooLong(*mImpl->parser, aBytes, mImpl->limits)) {
      return HttpError::HeaderTooLarge;
    }
    if (!mImpl->parser->is_header_done()) {
      return std::optional<Response>();
    }
    if (mImpl->isInterim()) {
      if (++mImpl->interimResponses > kMaxInterimResponses) {
        return HttpError::Malformed;
      }
      mImpl->reset();
      continue;
    }
    if (!mImpl->mayBeCloseDelimited && mImpl->isCloseDelimited()) {
      return HttpError::Unframed;
    }
    if (!mImpl->parser->is_done()) {
      return std::optional<Response>();
    }
    return std::optional(mImpl->releaseResponse());
  }
}

bool
ResponseParser::isCloseDelimited() const
{
  return mImpl->parser->is_header_done() && !mImpl->isInterim() &&
         mImpl->isCloseDelimited();
}

std::size_t
ResponseParser::bodyBytes() const
{
  return mImpl->parser->get().body().capacity();
}

Result<Response>
ResponseParser::finish()
{
  if (!mImpl->parser->is_header_done() || mImpl->isInterim()) {
    return HttpError::Incomplete;
  }
  boost::system::error_code ec;
  mImpl->parser->put_eof(ec);
  if (ec) {
    return HttpError::Incomplete;
  }
  return mImpl->releaseResponse();
}

} // namespace masticwall::http
