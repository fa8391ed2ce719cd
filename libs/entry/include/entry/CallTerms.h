#pragma once

#include <core/Time.h>
#include <optional>
#include <string>

namespace masticwall {

/** What a request says of itself beside its content. */
struct CallTerms
{
  std::string id;   ///< the caller's name for this attempt; empty if it gave none
  std::string host; ///< that it is addressed to, without a port; lower case
  std::optional<Duration> patience; ///< how long the caller will wait, if it says so
};

} // namespace masticwall
