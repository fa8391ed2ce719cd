#pragma once

#include <QHostAddress>
#include <core/Time.h>
#include <functional>
#include <runtime/TimerService.h>

namespace masticwall::http {

/**
 * Opens and closes a connection, to learn whether anything listens at the address.
 * Calls back once, later, on the calling thread.
 */
void
probeConnect(TimerService& aTimers,
             const QHostAddress& aHost,
             std::uint16_t aPort,
             Duration aTimeout,
             std::function<void(bool aIsListening)> aDone);

} // namespace masticwall::http
