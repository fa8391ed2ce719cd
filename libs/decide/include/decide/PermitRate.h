#pragma once

namespace masticwall {

/**
 * The part of a limit that VMs without contact to others use: the VM that would issue
 * permits this part, and all others together this part again. Some other VM, which they
 * don't reach, may issue permits for the whole limit.
 */
inline constexpr double kPartWithoutContact = 0.1;

/**
 * The permits a second that are issued in all for an upstream that takes `aPerSecond`
 * requests. Never zero: without any request, the end of its limit would not be seen.
 */
double
permitRateOf(double aPerSecond);

} // namespace masticwall
