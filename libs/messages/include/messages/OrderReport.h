#pragma once

#include <QByteArray>
#include <core/Result.h>
#include <decide/OrderState.h>
#include <http/Response.h>

namespace masticwall {

/** What the claimant of an order tells another entry process of it. */
struct OrderReport
{
  OrderState state = OrderState::Unknown;
  http::Response answer; ///< if the state is Answered
};

QByteArray
encode(const OrderReport& aReport);

/** Fails with a MessageError. */
Result<OrderReport>
decodeOrderReport(const QByteArray& aBytes);

} // namespace masticwall
