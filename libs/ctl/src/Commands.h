#pragma once

#include "CtlSettings.h"
#include <ctl/CtlExitCode.h>
#include <string>
#include <vector>

namespace masticwall::commands {

// Each command prints its result to standard output, and errors to standard error.

CtlExitCode
check(const CtlSettings& aSettings, const std::string& aFile);

CtlExitCode
publish(const CtlSettings& aSettings, const std::string& aFile);

CtlExitCode
switchTo(const CtlSettings& aSettings, const std::string& aPreset);

CtlExitCode
presets(const CtlSettings& aSettings);

CtlExitCode
history(const CtlSettings& aSettings);

CtlExitCode
status(const CtlSettings& aSettings);

/** Waits until the active preset of every masticwall VM is at `aVersion` or newer. */
CtlExitCode
wait(const CtlSettings& aSettings, std::uint64_t aVersion);

CtlExitCode
state(const CtlSettings& aSettings, const std::string& aVm);

CtlExitCode
drain(const CtlSettings& aSettings, const std::string& aVm);

/** Prints the lines of request `aId` from the log files of several processes, by time. */
CtlExitCode
explain(const CtlSettings& aSettings,
        const std::string& aId,
        const std::vector<std::string>& aFiles);

} // namespace masticwall::commands
