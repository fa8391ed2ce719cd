#include "Commands.h"
#include "CtlError.h"
#include "Print.h"
#include <algorithm>
#include <fstream>
#include <iostream>
#include <optional>
#include <vector>

namespace masticwall::commands {

namespace {

/** A log line and the value of its `time` field. */
struct LogLine
{
  std::string time;
  std::string text;
};

/** The value of `aKey` in a line of key=value pairs; std::nullopt if it is absent. */
std::optional<std::string>
valueOf(const std::string& aLine, const std::string& aKey)
{
  const auto pattern = ' ' + aKey + '=';
  const auto padded = ' ' + aLine;
  const auto at = padded.find(pattern);
  if (at == std::string::npos) {
    return std::nullopt;
  }
  const auto begin = at + pattern.size();
  return padded.substr(begin, padded.find(' ', begin) - begin);
}

bool
readLines(const std::string& aFile, const std::string& aId, std::vector<LogLine>& aLines)
{
  std::ifstream file(aFile);
  if (!file) {
    return false;
  }
  for (std::string line; std::getline(file, line);) {
    if (valueOf(line, "id") == aId) {
      aLines.push_back({ valueOf(line, "time").value_or(""), line });
    }
  }
  return true;
}

} // namespace

CtlExitCode
explain(const CtlSettings& aSettings,
        const std::string& aId,
        const std::vector<std::string>& aFiles)
{
  std::vector<LogLine> lines;
  for (const auto& it : aFiles) {
    if (!readLines(it, aId, lines)) {
      return printError(aSettings, CtlError::FileUnreadable);
    }
  }
  if (lines.empty()) {
    return printError(aSettings, CtlError::RequestUnknown);
  }
  std::stable_sort(
    lines.begin(), lines.end(), [](const LogLine& aLeft, const LogLine& aRight) {
      return aLeft.time < aRight.time;
    });
  for (const auto& it : lines) {
    std::cout << it.text << '\n';
  }
  return CtlExitCode::Done;
}

} // namespace masticwall::commands
