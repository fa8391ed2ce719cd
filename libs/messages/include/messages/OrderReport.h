#pragma once

#include <QByteArray>
#include <core/Result.h>
#include <decide/OrderState.h>
#include <http/Response.h>

namespace masticwall {

/** The state of an order, as its claimant reports it to another entry process. */
struct OrderReport
{
  OrderState state = OrderState::Unknown;
  http::Response response; ///< the upstream's response; only if the state is Answered
};

QByteArray
encode(const OrderReport& aReport);

/** Fails with a MessageError. */
Result<OrderReport>
decodeOrderReport(const QByteArray& aBytes);

} // namespace masticwall
