#pragma once

#include <decide/LoadReport.h>
#include <http/Response.h>
#include <optional>
#include <string>

namespace masticwall {

/** The state that an upstream reports in the headers of a response. */
struct UpstreamReport
{
  bool isNotRun = false;      ///< the request was not run
  bool isMisdirected = false; ///< another instance has the address; not run
  bool isLeaving = false;     ///< it shuts down; send no more calls
  std::string instance;
  std::optional<LoadReport> load; ///< empty if not reported
};

/** Reads the status and headers of a response that was received at `aNow`. */
UpstreamReport
readUpstreamReport(const http::Response& aResponse, Instant aNow);

} // namespace masticwall
