#include <algorithm>
#include <charconv>
#include <http/DecimalNumber.h>
#include <http/HttpError.h>
#include <limits>

namespace masticwall::http {

Result<double>
parseDecimalNumber(std::string_view aText)
{
  // from_chars() alone would also take "inf", "nan" and a sign.
  const bool isDecimal =
    !aText.empty() && std::all_of(aText.begin(), aText.end(), [](char aChar) {
      return (aChar >= '0' && aChar <= '9') || aChar == '.';
    });
  double number = 0.0;
  const auto* const end = aText.data() + aText.size();
  const auto [last, ec] =
    std::from_chars(aText.data(), end, number, std::chars_format::fixed);
  if (!isDecimal || ec == std::errc::invalid_argument || last != end) {
    return HttpError::Malformed;
  }
  if (ec == std::errc::result_out_of_range) {
    const auto whole = aText.substr(0, aText.find('.'));
    const bool isTiny = whole.find_first_not_of('0') == std::string_view::npos;
    return isTiny ? 0.0 : std::numeric_limits<double>::max();
  }
  return number;
}

} // namespace masticwall::http
