#pragma once

#include "CtlSettings.h"
#include <QJsonArray>
#include <QJsonObject>
#include <ctl/CtlExitCode.h>
#include <string>
#include <system_error>

namespace masticwall {

QString
toText(std::string_view aText);

void
printJson(const QJsonObject& aObject);

/** Prints the message of a CtlError; returns its exit code. */
CtlExitCode
printError(const CtlSettings& aSettings, const std::error_code& aError);

} // namespace masticwall
