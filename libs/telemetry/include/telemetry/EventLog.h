#pragma once

#include <initializer_list>
#include <string>
#include <telemetry/LogEvent.h>
#include <telemetry/LogField.h>

namespace masticwall {

/**
 * Starts logging to standard output. `aProcess` is the value of the `process` field of
 * each line. Call once, before threads start.
 */
void
startEventLog(const std::string& aProcess);

/**
 * Stops logging. Waits for queued lines to be written, but gives up after about 300 ms if
 * nothing reads standard output. Call once, after the last logEvent().
 */
void
stopEventLog();

/**
 * Logs one line of key=value fields. Values are quoted where needed and control
 * characters escaped. At most 20 lines per second of each event are written: the others
 * are suppressed, and their number is logged with the event's first line after that
 * second. Never blocks on the reader of the log. Thread-safe.
 */
void
logEvent(LogEvent aEvent, std::initializer_list<LogField> aFields = {});

/** The number of lines suppressed by the rate limits so far. Thread-safe. */
std::uint64_t
suppressedLogLines();

/** `aValue` as written to a line: quoted and escaped where needed. */
std::string
escapeLogValue(std::string_view aValue);

} // namespace masticwall
