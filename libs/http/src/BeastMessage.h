#pragma once

#include <QByteArray>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>
#include <http/Header.h>
#include <http/HttpError.h>
#include <http/MessageLimits.h>
#include <iterator>
#include <optional>

// Helpers for the source files that use Boost.Beast.
namespace masticwall::http {

namespace beast = boost::beast::http;

inline std::string
toString(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

/** Whether a field is hop-by-hop, Content-Length or Expect: these are not forwarded. */
inline bool
isNotForwarded(beast::field aField)
{
  switch (aField) {
    case beast::field::connection:
    case beast::field::content_length:
    case beast::field::transfer_encoding:
    case beast::field::keep_alive:
    case beast::field::proxy_connection:
    case beast::field::te:
    case beast::field::trailer:
    case beast::field::upgrade:
    case beast::field::expect:
      return true;
    default:
      return false;
  }
}

/** Copies the end-to-end fields of a Beast message. */
template<class Fields>
HeaderList
endToEndHeaders(const Fields& aFields)
{
  HeaderList headers;
  for (const auto& it : aFields) {
    if (!isNotForwarded(it.name())) {
      headers.push_back({ toString(it.name_string()), toString(it.value()) });
    }
  }
  return headers;
}

inline HttpError
toHttpError(const boost::system::error_code& aCode)
{
  if (aCode == beast::error::header_limit) {
    return HttpError::HeaderTooLarge;
  }
  if (aCode == beast::error::body_limit) {
    return HttpError::BodyTooLarge;
  }
  return HttpError::Malformed;
}

/**
 * Checks what decides where a message ends, beyond what Beast does. Beast ignores
 * transfer codings that it does not know: it would take a request's body for the next
 * request, and a response's coded bytes for its content.
 */
template<class Message>
std::optional<HttpError>
checkFraming(const Message& aMessage)
{
  const auto codings = aMessage.equal_range(beast::field::transfer_encoding);
  const auto n = std::distance(codings.first, codings.second);
  if (n > 1 || (n == 1 && aMessage.version() < 11)) {
    return HttpError::Malformed;
  }
  if (n == 1 && !boost::beast::iequals(codings.first->value(), "chunked")) {
    const auto value = toString(codings.first->value());
    const bool isToken = !value.empty() && value.find_first_of(", \t;") == value.npos;
    return isToken ? HttpError::UnknownTransferCoding : HttpError::Malformed;
  }
  return std::nullopt;
}

/**
 * Feeds a Beast parser from the front of `aBytes` and removes the bytes it consumed.
 * Returns no error if the parser needs more bytes.
 */
template<class Parser>
boost::system::error_code
feedParser(Parser& aParser, QByteArray& aBytes)
{
  boost::system::error_code ec;
  std::size_t consumed = 0;
  const auto size = static_cast<std::size_t>(aBytes.size());
  while (consumed < size && !aParser.is_done()) {
    const boost::asio::const_buffer buf(aBytes.constData() + consumed, size - consumed);
    const auto n = aParser.put(buf, ec);
    consumed += n;
    if (ec == beast::error::need_more) {
      ec = {};
      break;
    }
    if (ec) {
      break;
    }
  }
  aBytes.remove(0, static_cast<qsizetype>(consumed));
  return ec;
}

/**
 * Whether the bytes that the parser has left over exceed the limit of a header. They are
 * an incomplete line of a header, of a chunk's size and extensions, or of a trailer; the
 * parser itself limits only the first.
 */
template<class Parser>
bool
isLineTooLong(const Parser& aParser,
              const QByteArray& aLeftOver,
              const MessageLimits& aLimits)
{
  return !aParser.is_done() && aLeftOver.size() > qsizetype{ aLimits.maxHeaderBytes };
}

/** Serializes a Beast message, or its header only. */
template<bool IsRequest, class Body>
QByteArray
toBytes(beast::message<IsRequest, Body>& aMessage, bool aIsHeaderOnly)
{
  beast::serializer<IsRequest, Body> serializer(aMessage);
  serializer.split(aIsHeaderOnly);
  QByteArray bytes;
  if (!aIsHeaderOnly) {
    constexpr qsizetype kUsualHeaderBytes = 512;
    bytes.reserve(static_cast<qsizetype>(aMessage.body().size()) + kUsualHeaderBytes);
  }
  boost::system::error_code ec;
  const auto isFinished = [&] {
    return aIsHeaderOnly ? serializer.is_header_done() : serializer.is_done();
  };
  while (!isFinished() && !ec) {
    serializer.next(ec, [&](boost::system::error_code&, const auto& aBuffers) {
      std::size_t n = 0;
      for (auto it = boost::asio::buffer_sequence_begin(aBuffers);
           it != boost::asio::buffer_sequence_end(aBuffers);
           ++it) {
        const boost::asio::const_buffer buf = *it;
        bytes.append(static_cast<const char*>(buf.data()),
                     static_cast<qsizetype>(buf.size()));
        n += buf.size();
      }
      serializer.consume(n);
    });
  }
  return bytes;
}

} // namespace masticwall::http
