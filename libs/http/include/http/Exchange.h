#pragma once

#include <QHostAddress>
#include <core/Time.h>
#include <functional>
#include <http/BackResult.h>
#include <http/MessageLimits.h>
#include <http/Request.h>

namespace masticwall::http {

/** A request to an upstream and what is to happen with it. */
struct Exchange
{
  QHostAddress host;
  std::uint16_t port = 0;
  Request request;
  MessageLimits limits; ///< of the answer
  Duration connectTimeout{ 250ms };
  Duration timeout{ 1s };          ///< from the first byte written to the whole answer
  bool recentlyActiveOnly = false; ///< only a connection that was lately seen alive
  /**
   * Whether a whole response answers this request; null if any does. One that does not
   * is dropped, and the connection is closed after the exchange.
   */
  std::function<bool(const Response&)> isMatchingResponse;
  /** An answer without a length is whole once the connection has ended in order. */
  bool mayEndWithConnection = false;
  std::function<bool()> mayWrite;       ///< asked before the first byte; false withdraws
  std::function<void(BackResult)> done; ///< called once
};

} // namespace masticwall::http
