#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace masticwall {

/** Settings that were read; without them, the process ends with `exitCode`. */
template<class S>
struct SettingsParse
{
  std::optional<S> settings;
  int exitCode = 0;
  std::string output; ///< for standard output if the exit code is 0, else standard error
};

/** The exit code for wrong settings. */
inline constexpr int kExitWrongSettings = 2;

} // namespace masticwall
