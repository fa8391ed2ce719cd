#include <http/DecimalNumber.h>
#include <http/RetryAfter.h>

namespace masticwall::http {

Result<Duration>
parseRetryAfter(std::string_view aText)
{
  BOOST_OUTCOME_TRY(number, parseDecimalNumber(aText));
  const std::chrono::duration<double> seconds(number);
  return seconds >= kMaxRetryAfter ? kMaxRetryAfter
                                   : std::chrono::duration_cast<Duration>(seconds);
}

} // namespace masticwall::http
