#include "AsyncLineAppender.h"
#include <core/Bytes.h>
#include <core/OrderedMutex.h>
#include <core/Time.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <telemetry/EventLog.h>
#include <unistd.h>

namespace masticwall {

namespace {

constexpr int kMaxLinesPerSecond = 20; ///< for each event

/** Limit on queued lines, which build up when the reader of standard output is slow. */
constexpr std::size_t kMaxQueuedBytes = 256 * kKiB;

/** The lines of one event in its current window of one second. */
struct RateWindow
{
  Instant start;
  int lines = 0;
  int suppressed = 0;
};

OrderedMutex sMutex{ LockLevel::Log };
std::array<RateWindow, EnumTable<LogEvent>::kEntries.size()> sRateWindows;
std::uint64_t sSuppressed = 0; ///< total of all events since the start

/**
 * Counts a line of `aEvent`; false if it exceeds the rate limit. At the start of a new
 * window, sets `aSuppressed` to the number of lines suppressed in the previous one.
 */
bool
allowLine(LogEvent aEvent, int& aSuppressed)
{
  std::scoped_lock lock(sMutex);
  auto& window = sRateWindows[static_cast<std::size_t>(aEvent)];
  const Instant now = std::chrono::steady_clock::now();
  if (now - window.start >= 1s) {
    aSuppressed = window.suppressed;
    window = { now, 0, 0 };
  }
  if (window.lines >= kMaxLinesPerSecond) {
    ++window.suppressed;
    ++sSuppressed;
    return false;
  }
  ++window.lines;
  return true;
}

void
appendField(std::string& aLine, std::string_view aKey, std::string_view aValue)
{
  aLine += ' ';
  aLine += aKey;
  aLine += '=';
  aLine += escapeLogValue(aValue);
}

} // namespace

void
startEventLog(const std::string& aProcess)
{
  namespace l4c = log4cplus;
  static const l4c::Initializer sInitializer;
  l4c::SharedAppenderPtr appender(new AsyncLineAppender(STDOUT_FILENO, kMaxQueuedBytes));
  appender->setLayout(std::make_unique<l4c::PatternLayout>(
    LOG4CPLUS_TEXT("time=%d{%Y-%m-%dT%H:%M:%S.%q}Z level=%p process=") + aProcess +
    LOG4CPLUS_TEXT(" %m%n")));
  auto root = l4c::Logger::getRoot();
  root.addAppender(appender);
  root.setLogLevel(l4c::INFO_LOG_LEVEL);
}

void
stopEventLog()
{
  log4cplus::Logger::getRoot().removeAllAppenders();
}

void
logEvent(LogEvent aEvent, std::initializer_list<LogField> aFields)
{
  int suppressed = 0;
  if (!allowLine(aEvent, suppressed)) {
    return;
  }
  auto logger = log4cplus::Logger::getRoot();
  if (suppressed > 0) {
    std::string line = "event=suppressed";
    appendField(line, "of", nameOf(aEvent));
    appendField(line, "lines", std::to_string(suppressed));
    LOG4CPLUS_INFO(logger, line);
  }
  std::string line = "event=" + std::string(nameOf(aEvent));
  for (const auto& it : aFields) {
    appendField(line, it.key, it.value);
  }
  LOG4CPLUS_INFO(logger, line);
}

std::uint64_t
suppressedLogLines()
{
  std::scoped_lock lock(sMutex);
  return sSuppressed;
}

std::string
escapeLogValue(std::string_view aValue)
{
  constexpr std::string_view kHex = "0123456789abcdef";
  bool needsQuotes = aValue.empty();
  std::string text;
  for (const char it : aValue) {
    const auto byte = static_cast<unsigned char>(it);
    const bool isControl = byte < 0x20 || byte == 0x7f;
    if (isControl) {
      text += "\\x";
      text += kHex[byte >> 4U];
      text += kHex[byte & 0xfU];
      needsQuotes = true;
      continue;
    }
    if (it == '"' || it == '\\') {
      text += '\\';
    }
    needsQuotes = needsQuotes || it == ' ' || it == '"' || it == '=' || it == '\\';
    text += it;
  }
  return needsQuotes ? '"' + text + '"' : text;
}

} // namespace masticwall
