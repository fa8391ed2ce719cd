#include "RankReport.h"
#include <cstdlib>

namespace masticwall::bench {

namespace {

double
toMs(Duration aDuration)
{
  return static_cast<double>(aDuration.count()) / 1e6;
}

} // namespace

Duration
serviceOf(const http::Request& aRequest)
{
  const std::string text(http::findHeader(aRequest.headers, "Test-Service-Us"));
  return std::chrono::microseconds(std::atoi(text.c_str()));
}

RankReport
RankReport::of(const std::vector<test::LoadResult>& aResults,
               const std::string& aKind,
               Duration aTarget)
{
  RankReport report;
  std::vector<Duration> added;
  std::vector<Duration> total;
  std::vector<Duration> refusals;
  std::size_t inTarget = 0;
  std::size_t refused = 0;
  for (const auto& it : aResults) {
    if (it.kind != aKind) {
      continue;
    }
    ++report.calls;
    if (it.outcome == "answered") {
      const auto extra = it.latency - serviceOf(it.request);
      added.push_back(extra);
      total.push_back(it.latency);
      inTarget += extra <= aTarget ? 1 : 0;
    } else if (it.outcome == "not-run") {
      ++refused;
      ++report.refusals[it.reason];
      if (it.reason == "overload") {
        refusals.push_back(it.latency);
      }
    }
  }
  const auto share = [&](std::size_t aCount) {
    return report.calls == 0
             ? 0.0
             : static_cast<double>(aCount) / static_cast<double>(report.calls);
  };
  report.answered = share(added.size());
  report.inTarget = share(inTarget);
  report.refused = share(refused);
  report.addedP50 = toMs(test::percentile(added, 0.5));
  report.addedP99 = toMs(test::percentile(added, 0.99));
  report.addedP999 = toMs(test::percentile(added, 0.999));
  report.totalP99 = toMs(test::percentile(total, 0.99));
  report.refusalP99 = toMs(test::percentile(refusals, 0.99));
  return report;
}

} // namespace masticwall::bench
