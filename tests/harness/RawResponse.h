#pragma once

#include <QByteArray>
#include <optional>
#include <string>
#include <vector>

namespace masticwall::test {

/**
 * A response as its bytes say, read without the product's parser: what that parser
 * rejects would look like no response at all.
 */
struct RawResponse
{
  std::string statusLine;
  std::vector<std::string> fieldLines;
  std::string body;

  /** Takes a response with a length, or with a status that has no body, from the front of
   * `aBytes`; nothing while it is not whole. */
  static std::optional<RawResponse> take(QByteArray& aBytes);

  /** The three characters where a status code stands. */
  std::string status() const;

  /** The value of the first field of that name, written as given; empty if none. */
  std::string field(const std::string& aName) const;
};

} // namespace masticwall::test
