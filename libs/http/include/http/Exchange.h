#pragma once

#include <QHostAddress>
#include <core/Time.h>
#include <functional>
#include <http/ExchangeResult.h>
#include <http/MessageLimits.h>
#include <http/Request.h>

namespace masticwall::http {

/** A request to an upstream, with its timeouts and callbacks. */
struct Exchange
{
  QHostAddress host;
  std::uint16_t port = 0;
  Request request;
  MessageLimits limits; ///< of the response
  Duration connectTimeout{ 250ms };
  Duration timeout{ 1s }; ///< from the first byte written to the complete response
  /** Don't reuse a connection whose last activity is longer ago than the pool's
   * kRecentActivityPeriod. */
  bool recentlyActiveOnly = false;
  /**
   * Whether a complete response belongs to this request; null accepts any. A response
   * that does not is discarded, and the connection is closed after the exchange.
   */
  std::function<bool(const Response&)> isMatchingResponse;
  /** Accepts a response without a length, which ends with an orderly connection close. */
  bool allowCloseDelimited = false;
  /** Called before the first byte is written; false ends the exchange with NotSent. May
   * be null. */
  std::function<bool()> canStillSend;
  std::function<void(ExchangeResult)> done; ///< called once; not after cancel()
};

} // namespace masticwall::http
