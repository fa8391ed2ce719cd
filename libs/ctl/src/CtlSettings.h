#pragma once

#include <core/Time.h>
#include <string>

namespace masticwall {

/** The options that all masticwallctl commands share. */
struct CtlSettings
{
  std::string logUrl = "http://127.0.0.1:9000";
  std::string vmListUrl = "http://127.0.0.1:9001";
  bool isJson = false;
  int timeoutMs = 10'000; ///< of the log's replay, of a change, and of `wait`

  Duration timeout() const { return std::chrono::milliseconds(timeoutMs); }
};

} // namespace masticwall
