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
  /** Limit for replaying the log, for each appended record, and for `wait`. */
  int timeoutMs = 10'000;

  Duration timeout() const { return std::chrono::milliseconds(timeoutMs); }
};

} // namespace masticwall
