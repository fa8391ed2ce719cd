#include <charconv>
#include <messages/HeaderNames.h>
#include <messages/UpstreamReport.h>

namespace masticwall {

namespace {

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

UpstreamReport
readUpstreamReport(const http::Response& aResponse, Instant aNow)
{
  constexpr int kStatusServiceUnavailable = 503;
  UpstreamReport report;
  report.isNotRun = aResponse.status == kStatusServiceUnavailable &&
                    http::findHeader(aResponse.headers, headers::kNotRun) == "1";
  report.isLeaving = http::findHeader(aResponse.headers, headers::kLeaving) == "1";
  report.instance = http::findHeader(aResponse.headers, headers::kInstance);
  if (const auto inUse = parseHeader(aResponse, headers::kInUse)) {
    report.load =
      LoadReport{ *inUse, parseHeader(aResponse, headers::kQueued).value_or(0), aNow };
  }
  return report;
}

} // namespace masticwall
