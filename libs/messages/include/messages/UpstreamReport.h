#pragma once

#include <decide/LoadReport.h>
#include <http/Response.h>
#include <optional>
#include <string>

namespace masticwall {

/** What an upstream says of itself with an answer. */
struct UpstreamReport
{
  bool isNotRun = false;        ///< it did not run the request
  bool isOtherInstance = false; ///< another instance has the address; it was not run
  bool isLeaving = false;
  std::string instance;
  std::optional<LoadReport> load;
};

/** Reads the signs of an answer that arrived at `aNow`. */
UpstreamReport
readUpstreamReport(const http::Response& aResponse, Instant aNow);

} // namespace masticwall
