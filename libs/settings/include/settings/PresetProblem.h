#pragma once

#include <cstddef>
#include <string>

namespace masticwall {

/** An invalid or missing field of a preset. */
struct PresetProblem
{
  std::string keyPath;  ///< such as "service[0].route[2].deadline_ms"
  std::size_t line = 0; ///< counted from 1; 0 if unknown
  std::string expected; ///< a valid value, such as "true or false", or what to correct
};

} // namespace masticwall
