#pragma once

#include <QHostAddress>
#include <core/Time.h>
#include <functional>
#include <http/Request.h>
#include <http/Response.h>
#include <memory>
#include <random>
#include <runtime/TimerService.h>
#include <string>
#include <vector>

namespace masticwall::test {

/** A call of a load. */
struct LoadCall
{
  std::string kind; ///< a label that results are grouped by
  http::Request request;
};

/** How a call of a load ended. */
struct LoadResult
{
  std::string kind;
  std::string outcome; ///< "answered", "not-run", "unknown", or "none" without an answer
  std::string reason;
  int status = 0; ///< 0 without an answer
  Instant dueAt;
  Duration latency{ 0 };   ///< from when it was due
  bool isOwnAnswer = true; ///< an answered call got the answer to its own request
  http::Request request;
};

/** An open-loop load: calls start at Poisson arrivals, whatever became of earlier ones.
 */
class LoadRun
{
public:
  /** A target that calls are dealt to in turn. */
  struct Target
  {
    QHostAddress host;
    quint16 port = 0;
  };

  using MakeCall =
    std::function<LoadCall(std::uint64_t aIndex, std::mt19937_64& aRandom)>;

  LoadRun(std::vector<Target> aTargets, double aCallsPerSecond, std::uint64_t aSeed);
  ~LoadRun();

  /** From now on calls go to these; may be called from within run(). */
  void setTargets(std::vector<Target> aTargets);

  /** Runs for `aDuration`, then until every call has ended (15 s at most). */
  std::vector<LoadResult> run(Duration aDuration, const MakeCall& aMakeCall);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/** The value at `aShare` (0 to 1) of the sorted latencies; 0 without any. */
Duration
percentile(std::vector<Duration> aLatencies, double aShare);

} // namespace masticwall::test
