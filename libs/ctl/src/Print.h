#pragma once

#include "CtlSettings.h"
#include <QJsonArray>
#include <QJsonObject>
#include <ctl/CtlExit.h>
#include <string>
#include <system_error>

namespace masticwall {

QString
toText(std::string_view aText);

void
printJson(const QJsonObject& aObject);

/** Prints what went wrong and what to do; returns the exit code that goes with it. */
CtlExit
printError(const CtlSettings& aSettings, const std::error_code& aError);

} // namespace masticwall
