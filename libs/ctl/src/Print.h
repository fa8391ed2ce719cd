#pragma once

#include "CtlSettings.h"
#include <QJsonArray>
#include <QJsonObject>
#include <ctl/CtlExitCode.h>
#include <string>
#include <system_error>

namespace masticwall {

/** Converts from UTF-8. */
QString
toText(std::string_view aText);

void
printJson(const QJsonObject& aObject);

/**
 * Prints the message of `aError`, which must be a CtlError, to standard error, and with
 * --json also to standard output; returns its exit code.
 */
CtlExitCode
printError(const CtlSettings& aSettings, const std::error_code& aError);

} // namespace masticwall
