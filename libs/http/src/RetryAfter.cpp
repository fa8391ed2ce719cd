#include <algorithm>
#include <charconv>
#include <http/HttpError.h>
#include <http/RetryAfter.h>

namespace masticwall::http {

Result<Duration>
parseRetryAfter(std::string_view aText)
{
  // from_chars() alone would also take "inf", "nan" and a sign.
  const bool isDecimal =
    !aText.empty() && std::all_of(aText.begin(), aText.end(), [](char aChar) {
      return (aChar >= '0' && aChar <= '9') || aChar == '.';
    });
  double seconds = 0.0;
  const auto* const end = aText.data() + aText.size();
  const auto [last, ec] =
    std::from_chars(aText.data(), end, seconds, std::chars_format::fixed);
  if (!isDecimal || ec == std::errc::invalid_argument || last != end) {
    return HttpError::Malformed;
  }
  using Seconds = std::chrono::duration<double>;
  if (ec == std::errc::result_out_of_range || Seconds(seconds) >= kMaxRetryAfter) {
    return kMaxRetryAfter;
  }
  return std::chrono::duration_cast<Duration>(Seconds(seconds));
}

} // namespace masticwall::http
