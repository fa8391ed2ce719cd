#pragma once

#include <core/Time.h>
#include <string>

namespace masticwall {

/** The options of every masticwallctl command. */
struct CtlSettings
{
  std::string logUrl = "http://127.0.0.1:9000";
  std::string vmListUrl = "http://127.0.0.1:9001";
  bool isJson = false;
  int timeoutMs = 10'000;

  Duration timeout() const { return std::chrono::milliseconds(timeoutMs); }
};

} // namespace masticwall
