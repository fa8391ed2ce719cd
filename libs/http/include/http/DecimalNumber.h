#pragma once

#include <core/Result.h>
#include <string_view>

namespace masticwall::http {

/**
 * Parses a field's value as a non-negative decimal number, which may have a fraction. A
 * number that is too large for a double counts as the largest one. Fails with
 * HttpError::Malformed for any other text, such as a sign, an exponent or "inf".
 */
Result<double>
parseDecimalNumber(std::string_view aText);

} // namespace masticwall::http
