#pragma once

#include "CtlSettings.h"
#include <ctl/CtlExit.h>
#include <string>
#include <vector>

namespace masticwall::commands {

// Each prints to standard output, and what went wrong to standard error.

CtlExit
check(const CtlSettings& aSettings, const std::string& aFile);

CtlExit
publish(const CtlSettings& aSettings, const std::string& aFile);

CtlExit
switchTo(const CtlSettings& aSettings, const std::string& aPreset);

CtlExit
presets(const CtlSettings& aSettings);

CtlExit
history(const CtlSettings& aSettings);

CtlExit
status(const CtlSettings& aSettings);

/** Waits until every VM on the list has `aVersion` or a newer one in force. */
CtlExit
wait(const CtlSettings& aSettings, std::uint64_t aVersion);

CtlExit
state(const CtlSettings& aSettings, const std::string& aVm);

CtlExit
drain(const CtlSettings& aSettings, const std::string& aVm);

/** Prints the lines of request `aId` from the logs of several processes, by time. */
CtlExit
explain(const CtlSettings& aSettings,
        const std::string& aId,
        const std::vector<std::string>& aFiles);

} // namespace masticwall::commands
