#pragma once

#include <boost/outcome/std_result.hpp>
#include <boost/outcome/try.hpp>
#include <system_error>

namespace masticwall {

/** A value of type T, or the std::error_code of the failure. */
template<class T>
using Result = boost::outcome_v2::std_result<T, std::error_code>;

/** The value of a successful Result<void>. */
inline auto
success()
{
  return boost::outcome_v2::success();
}

} // namespace masticwall
