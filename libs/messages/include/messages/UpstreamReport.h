#pragma once

#include <decide/LoadReport.h>
#include <http/Response.h>
#include <optional>
#include <string>

namespace masticwall {

/** The state that an upstream reports in the headers of a response. */
struct UpstreamReport
{
  bool isNotRun = false; ///< the request was not run
  /** Callers take the status as a promise that the request was not run, but the upstream
   * does not say so. */
  bool isUnprovenRefusal = false;
  /** Another instance has the address; the request was not run. */
  bool isMisdirected = false;
  bool isLeaving = false; ///< the upstream shuts down; send it no more calls
  std::string instance;   ///< the upstream's instance id; empty if not reported
  /** The upstream wants no requests for so long. */
  std::optional<Duration> holdOff;
  std::string malformedHoldOff;   ///< what it says instead of a time; cut if very long
  std::optional<LoadReport> load; ///< empty if not reported
  /** The requests a second that the upstream takes from all VMs together. */
  std::optional<double> requestLimit;
  std::string malformedRequestLimit;  ///< what it says instead; cut if very long
  std::optional<Duration> warmUpLeft; ///< for which the upstream is still cold
  std::string malformedWarmUp;        ///< what it says instead; cut if very long
};

/**
 * Reads the status and headers of a response that was received at `aNow`. Never sets
 * `isMisdirected`, which these headers can't express, nor `isUnprovenRefusal`, as callers
 * are told the outcome in a header of its own.
 */
UpstreamReport
readUpstreamReport(const http::Response& aResponse, Instant aNow);

/** Reads the Retry-After field of a 503 response into `aReport`. */
void
readHoldOff(const http::Response& aResponse, UpstreamReport& aReport);

} // namespace masticwall
