#pragma once

#include <initializer_list>
#include <string>
#include <telemetry/LogEvent.h>
#include <telemetry/LogField.h>

namespace masticwall {

/** Starts logging to standard output for `aProcess`. Call once, before threads start. */
void
startEventLog(const std::string& aProcess);

/** Writes the lines that wait, for a short while, and ends logging. Call once, last. */
void
stopEventLog();

/**
 * Writes one key=value line. Values are quoted where needed and control characters
 * escaped. Each event is limited to a steady rate; what is left out is counted and
 * reported by a line of its own. Thread-safe.
 */
void
logEvent(LogEvent aEvent, std::initializer_list<LogField> aFields = {});

/** Lines left out so far because their event was too frequent. */
std::uint64_t
leftOutLogLines();

/** The value as it stands on a line: quoted and escaped where needed. */
std::string
escapeLogValue(std::string_view aValue);

} // namespace masticwall
