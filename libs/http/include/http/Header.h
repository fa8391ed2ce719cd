#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace masticwall::http {

/** A header field of a message. */
struct Header
{
  std::string name;
  std::string value;
};

using HeaderList = std::vector<Header>;

/** The value of the first field named `aName` (case-insensitive); empty if none. */
std::string_view
findHeader(const HeaderList& aHeaders, std::string_view aName);

/** Removes every field named `aName` (case-insensitive). */
void
removeHeader(HeaderList& aHeaders, std::string_view aName);

} // namespace masticwall::http
