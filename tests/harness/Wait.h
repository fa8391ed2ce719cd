#pragma once

#include <functional>

namespace masticwall::test {

/** Runs the event loop until `aCondition` holds; false after `aMostMs` without it. */
bool
waitUntil(const std::function<bool()>& aCondition, int aMostMs = 20'000);

/** Runs the event loop for a while. For loads, never to wait for a state. */
void
runEventsFor(int aMilliseconds);

} // namespace masticwall::test
