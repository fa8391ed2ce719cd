#pragma once

namespace masticwall {

/** Runs masticwallctl with its command line; returns a CtlExit. Needs a QCoreApplication.
 */
int
runCtl(int aArgc, const char* const* aArgv);

} // namespace masticwall
