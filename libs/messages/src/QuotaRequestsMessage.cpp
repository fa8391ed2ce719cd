#include "CborReader.h"
#include "CborWriter.h"
#include <algorithm>
#include <messages/QuotaRequestsMessage.h>

namespace masticwall {

namespace {

constexpr std::uint64_t kMaxPermits = 100'000;

int
permitsOf(CborReader& aReader, Field aField)
{
  return static_cast<int>(std::min(aReader.number(aField), kMaxPermits));
}

} // namespace

QByteArray
encode(const QuotaRequests& aRequests)
{
  QCborArray tenants;
  for (const auto& it : aRequests.requests) {
    CborWriter writer;
    writer.text(Field::Tenant, it.tenant);
    writer.number(Field::Permits, static_cast<std::uint64_t>(it.needed));
    writer.number(Field::Ahead, static_cast<std::uint64_t>(it.ahead));
    writer.number(Field::Returned, static_cast<std::uint64_t>(it.returned));
    tenants.append(writer.map());
  }
  CborWriter writer;
  writer.flag(Field::IsRelayed, aRequests.isRelayed);
  writer.put(Field::Tenants, tenants);
  return writer.bytes();
}

Result<QuotaRequests>
decodeQuotaRequests(const QByteArray& aBytes)
{
  CborReader reader(aBytes);
  QuotaRequests requests;
  requests.isRelayed = reader.flag(Field::IsRelayed);
  for (const auto& it : reader.array(Field::Tenants)) {
    CborReader tenant{ QCborValue(it) };
    QuotaRequest request;
    request.tenant = tenant.text(Field::Tenant);
    request.needed = permitsOf(tenant, Field::Permits);
    request.ahead = permitsOf(tenant, Field::Ahead);
    request.returned = permitsOf(tenant, Field::Returned);
    if (tenant.error()) {
      return tenant.error();
    }
    requests.requests.push_back(std::move(request));
  }
  if (reader.error()) {
    return reader.error();
  }
  return requests;
}

} // namespace masticwall
