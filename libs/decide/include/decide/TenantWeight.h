#pragma once

#include <decide/QuotaTolerance.h>
#include <decide/Tenant.h>

namespace masticwall {

/**
 * The tenant's weight in fair queueing: the calls a second that its quota and the slack
 * allow within a window, and at least 1. So tenants of few calls, which come in small
 * groups, needn't wait for the next round. Equal for all tenants without a quota.
 */
double
tenantWeight(const Tenant& aTenant, const QuotaTolerance& aTolerance);

} // namespace masticwall
