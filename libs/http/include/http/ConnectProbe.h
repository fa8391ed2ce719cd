#pragma once

#include <QHostAddress>
#include <core/Time.h>
#include <functional>
#include <runtime/TimerService.h>

namespace masticwall::http {

/**
 * Checks whether a running process listens at the address: opens a connection and waits
 * briefly, because a process that is exiting may accept it and then reset it. Calls
 * `aDone` once, later, on the calling thread; with false after `aTimeout`.
 */
void
probeConnect(TimerService& aTimers,
             const QHostAddress& aHost,
             std::uint16_t aPort,
             Duration aTimeout,
             std::function<void(bool aIsListening)> aDone);

} // namespace masticwall::http
