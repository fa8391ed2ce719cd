#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace masticwall {

/** The result of parsing settings. If `settings` is empty, the process must exit. */
template<class S>
struct SettingsParseResult
{
  std::optional<S> settings;
  int exitCode = 0;
  std::string output; ///< for standard output if the exit code is 0, else standard error
};

/** The exit code for invalid settings. */
inline constexpr int kExitInvalidSettings = 2;

} // namespace masticwall
