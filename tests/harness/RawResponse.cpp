#include "RawResponse.h"
#include <QList>

namespace masticwall::test {

std::optional<RawResponse>
RawResponse::take(QByteArray& aBytes)
{
  const auto end = aBytes.indexOf("\r\n\r\n");
  if (end < 0) {
    return std::nullopt;
  }
  RawResponse response;
  for (const auto& it : aBytes.left(end).split('\n')) {
    const auto line = (it.endsWith('\r') ? it.chopped(1) : it).toStdString();
    if (response.statusLine.empty()) {
      response.statusLine = line;
    } else {
      response.fieldLines.push_back(line);
    }
  }
  const auto bodyAt = end + 4;
  const auto size = QByteArray::fromStdString(response.field("Content-Length")).toInt();
  if (aBytes.size() < bodyAt + size) {
    return std::nullopt;
  }
  response.body = aBytes.mid(bodyAt, size).toStdString();
  aBytes.remove(0, bodyAt + size);
  return response;
}

std::string
RawResponse::status() const
{
  constexpr std::size_t kAt = 9; // after "HTTP/1.1 "
  return statusLine.size() < kAt + 3 ? std::string() : statusLine.substr(kAt, 3);
}

std::string
RawResponse::field(const std::string& aName) const
{
  const auto start = aName + ": ";
  for (const auto& it : fieldLines) {
    if (it.starts_with(start)) {
      return it.substr(start.size());
    }
  }
  return {};
}

} // namespace masticwall::test
