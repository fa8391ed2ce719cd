#pragma once

#include <cstddef>
#include <string>

namespace masticwall {

/** A wrong field of a preset. */
struct PresetProblem
{
  std::string keyPath;  ///< such as "service[0].route[2].deadline_ms"
  std::size_t line = 0; ///< counted from 1; 0 if the field is missing
  std::string expected; ///< what should stand there
};

} // namespace masticwall
