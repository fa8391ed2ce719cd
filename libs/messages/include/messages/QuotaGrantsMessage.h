#pragma once

#include <QByteArray>
#include <core/Result.h>
#include <decide/QuotaGrant.h>
#include <vector>

namespace masticwall {

/** The reply to QuotaRequests: a grant for each request, in any order. */
QByteArray
encode(const std::vector<QuotaGrant>& aGrants);

/** Fails with a MessageError. Numbers out of range are brought into it. */
Result<std::vector<QuotaGrant>>
decodeQuotaGrants(const QByteArray& aBytes);

} // namespace masticwall
