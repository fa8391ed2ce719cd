#pragma once

#include <decide/LoadReport.h>
#include <http/Response.h>
#include <optional>
#include <string>

namespace masticwall {

/** What an upstream says of itself with an answer. */
struct UpstreamSigns
{
  bool isNotRun = false;    ///< it did not run the request
  bool isElsewhere = false; ///< another instance has the address; it was not run
  bool isLeaving = false;
  std::string instance;
  std::optional<LoadReport> load;
};

/** Reads the signs of an answer that arrived at `aNow`. */
UpstreamSigns
readSigns(const http::Response& aResponse, Instant aNow);

} // namespace masticwall
