#pragma once

#include <QHostAddress>
#include <core/Time.h>
#include <functional>
#include <runtime/TimerService.h>

namespace masticwall::http {

/**
 * Opens a connection and sees whether it lasts, to learn whether a process that lives
 * listens at the address.
 * Calls back once, later, on the calling thread.
 */
void
probeConnect(TimerService& aTimers,
             const QHostAddress& aHost,
             std::uint16_t aPort,
             Duration aTimeout,
             std::function<void(bool aIsListening)> aDone);

} // namespace masticwall::http
