#include "QueueAppender.h"
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

constexpr int kLinesPerSecond = 20; ///< of one event

/** Lines that wait for a slow reader of standard output. */
constexpr std::size_t kMostLineBytes = 256 * kKiB;

/** Lines of one event within the current second. */
struct EventRate
{
  Instant since;
  int lines = 0;
  int leftOut = 0;
};

OrderedMutex sMutex{ LockLevel::Mailbox };
std::array<EventRate, EnumTable<LogEvent>::kEntries.size()> sRates;
std::uint64_t sLeftOut = 0; ///< over all events and seconds

/** True if a line may be written; `aLeftOut` is what the last second left out. */
bool
takeLine(LogEvent aEvent, int& aLeftOut)
{
  std::scoped_lock lock(sMutex);
  auto& rate = sRates[static_cast<std::size_t>(aEvent)];
  const Instant now = std::chrono::steady_clock::now();
  if (now - rate.since >= 1s) {
    aLeftOut = rate.leftOut;
    rate = { now, 0, 0 };
  }
  if (rate.lines >= kLinesPerSecond) {
    ++rate.leftOut;
    ++sLeftOut;
    return false;
  }
  ++rate.lines;
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
  l4c::SharedAppenderPtr appender(new QueueAppender(STDOUT_FILENO, kMostLineBytes));
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
  int leftOut = 0;
  if (!takeLine(aEvent, leftOut)) {
    return;
  }
  auto logger = log4cplus::Logger::getRoot();
  if (leftOut > 0) {
    std::string line = "event=suppressed";
    appendField(line, "of", nameOf(aEvent));
    appendField(line, "lines", std::to_string(leftOut));
    LOG4CPLUS_INFO(logger, line);
  }
  std::string line = "event=" + std::string(nameOf(aEvent));
  for (const auto& it : aFields) {
    appendField(line, it.key, it.value);
  }
  LOG4CPLUS_INFO(logger, line);
}

std::uint64_t
leftOutLogLines()
{
  std::scoped_lock lock(sMutex);
  return sLeftOut;
}

std::string
escapeLogValue(std::string_view aValue)
{
  constexpr std::string_view kHex = "0123456789abcdef";
  bool isQuoted = aValue.empty();
  std::string text;
  for (const char it : aValue) {
    const auto byte = static_cast<unsigned char>(it);
    if (byte < 0x20 || byte == 0x7f) {
      text += "\\x";
      text += kHex[byte >> 4U];
      text += kHex[byte & 0xfU];
      isQuoted = true;
      continue;
    }
    if (it == '"' || it == '\\') {
      text += '\\';
    }
    isQuoted = isQuoted || it == ' ' || it == '"' || it == '=' || it == '\\';
    text += it;
  }
  return isQuoted ? '"' + text + '"' : text;
}

} // namespace masticwall
