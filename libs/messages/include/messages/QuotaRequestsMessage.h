#pragma once

#include <QByteArray>
#include <core/Result.h>
#include <decide/QuotaRequest.h>
#include <vector>

namespace masticwall {

/** A VM's requests for permits of several tenants, to the VM that issues them. */
struct QuotaRequests
{
  bool isRelayed = false; ///< by a VM that is not the tenants' first issuer itself
  std::vector<QuotaRequest> requests;
};

QByteArray
encode(const QuotaRequests& aRequests);

/** Fails with a MessageError. Numbers out of range are brought into it. */
Result<QuotaRequests>
decodeQuotaRequests(const QByteArray& aBytes);

} // namespace masticwall
