#include "CborReader.h"
#include "CborWriter.h"
#include <algorithm>
#include <messages/QuotaGrantsMessage.h>

namespace masticwall {

namespace {

constexpr std::uint64_t kMaxPermits = 100'000;
constexpr std::uint64_t kMaxTimeMs = 10'000;

Duration
timeOf(CborReader& aReader, Field aField)
{
  return std::chrono::milliseconds(std::min(aReader.number(aField), kMaxTimeMs));
}

} // namespace

QByteArray
encode(const std::vector<QuotaGrant>& aGrants)
{
  QCborArray tenants;
  for (const auto& it : aGrants) {
    CborWriter writer;
    writer.text(Field::Tenant, it.tenant);
    writer.flag(Field::IsKnown, it.isKnown);
    writer.number(Field::Permits, static_cast<std::uint64_t>(it.permits));
    writer.number(Field::NextInMs, static_cast<std::uint64_t>(toMilliseconds(it.nextIn)));
    writer.number(Field::RetryAfterMs,
                  static_cast<std::uint64_t>(toMilliseconds(it.retryAfter)));
    tenants.append(writer.map());
  }
  CborWriter writer;
  writer.put(Field::Tenants, tenants);
  return writer.bytes();
}

Result<std::vector<QuotaGrant>>
decodeQuotaGrants(const QByteArray& aBytes)
{
  CborReader reader(aBytes);
  std::vector<QuotaGrant> grants;
  for (const auto& it : reader.array(Field::Tenants)) {
    CborReader tenant{ QCborValue(it) };
    QuotaGrant grant;
    grant.tenant = tenant.text(Field::Tenant);
    grant.isKnown = tenant.flag(Field::IsKnown);
    grant.permits =
      static_cast<int>(std::min(tenant.number(Field::Permits), kMaxPermits));
    grant.nextIn = timeOf(tenant, Field::NextInMs);
    grant.retryAfter = timeOf(tenant, Field::RetryAfterMs);
    if (tenant.error()) {
      return tenant.error();
    }
    grants.push_back(std::move(grant));
  }
  if (reader.error()) {
    return reader.error();
  }
  return grants;
}

} // namespace masticwall
