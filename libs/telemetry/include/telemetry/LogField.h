#pragma once

#include <concepts>
#include <string>
#include <string_view>

namespace masticwall {

/** A key=value field of a log line. `aKey` must outlive the field. */
struct LogField
{
  std::string_view key;
  std::string value;

  LogField(std::string_view aKey, std::string aValue)
    : key(aKey)
    , value(std::move(aValue))
  {
  }
  LogField(std::string_view aKey, std::string_view aValue)
    : key(aKey)
    , value(aValue)
  {
  }
  LogField(std::string_view aKey, const char* aValue)
    : key(aKey)
    , value(aValue)
  {
  }
  LogField(std::string_view aKey, std::integral auto aValue)
    : key(aKey)
    , value(std::to_string(aValue))
  {
  }
};

} // namespace masticwall
