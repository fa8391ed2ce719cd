#pragma once

namespace masticwall {

/**
 * Runs the command that the command line names; returns a CtlExitCode as an integer. A
 * QCoreApplication must exist.
 */
int
runCtl(int aArgc, const char* const* aArgv);

} // namespace masticwall
