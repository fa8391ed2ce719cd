#include <charconv>
#include <http/RetryAfter.h>
#include <messages/HeaderNames.h>
#include <messages/UpstreamReport.h>

namespace masticwall {

namespace {

constexpr int kStatusServiceUnavailable = 503;

/** Parses a header as a non-negative integer; empty if it is missing or invalid. */
std::optional<int>
parseHeader(const http::Response& aResponse, const char* aName)
{
  const auto text = http::findHeader(aResponse.headers, aName);
  int n = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (text.empty() || ec != std::errc() || end != text.data() + text.size() || n < 0) {
    return std::nullopt;
  }
  return n;
}

} // namespace

void
readHoldOff(const http::Response& aResponse, UpstreamReport& aReport)
{
  constexpr std::size_t kMaxLoggedBytes = 64;
  const auto text = http::findHeader(aResponse.headers, headers::kRetryAfter);
  if (aResponse.status != kStatusServiceUnavailable || text.empty()) {
    return;
  }
  const auto holdOff = http::parseRetryAfter(text);
  if (holdOff.has_error()) {
    aReport.malformedHoldOff = text.substr(0, kMaxLoggedBytes);
  } else if (holdOff.value() > Duration{ 0 }) {
    aReport.holdOff = holdOff.value();
  }
}

UpstreamReport
readUpstreamReport(const http::Response& aResponse, Instant aNow)
{
  UpstreamReport report;
  report.isNotRun = aResponse.status == kStatusServiceUnavailable &&
                    http::findHeader(aResponse.headers, headers::kNotRun) == "1";
  report.isLeaving = http::findHeader(aResponse.headers, headers::kLeaving) == "1";
  report.instance = http::findHeader(aResponse.headers, headers::kInstance);
  if (const auto inUse = parseHeader(aResponse, headers::kInUse)) {
    report.load =
      LoadReport{ *inUse, parseHeader(aResponse, headers::kQueued).value_or(0), aNow };
  }
  readHoldOff(aResponse, report);
  return report;
}

} // namespace masticwall
