#include "CborReader.h"
#include "CborWriter.h"
#include <algorithm>
#include <messages/PermitRequestMessage.h>

namespace masticwall {

namespace {

constexpr std::uint64_t kMaxWanted = 10'000;
constexpr std::uint64_t kMaxAgeMs = 86'400'000;

} // namespace

QByteArray
encode(const PermitRequest& aRequest)
{
  CborWriter writer;
  writer.text(Field::Name, aRequest.upstream).text(Field::Instance, aRequest.instance);
  writer.put(Field::PerSecond, aRequest.perSecond);
  writer.number(Field::AgeMs,
                static_cast<std::uint64_t>(toMilliseconds(aRequest.limitAge)));
  writer.name(Field::Rank, aRequest.rank);
  writer.number(Field::Permits, static_cast<std::uint64_t>(aRequest.wanted));
  writer.flag(Field::IsLastResort, aRequest.isLastResort);
  return writer.bytes();
}

Result<PermitRequest>
decodePermitRequest(const QByteArray& aBytes)
{
  CborReader reader(aBytes);
  PermitRequest request;
  request.upstream = reader.text(Field::Name);
  request.instance = reader.text(Field::Instance);
  const auto perSecond = reader.value(Field::PerSecond).toDouble(-1.0);
  const auto ageMs = std::min(reader.number(Field::AgeMs), kMaxAgeMs);
  request.limitAge = std::chrono::milliseconds(ageMs);
  request.rank = reader.name<Rank>(Field::Rank);
  request.wanted = static_cast<int>(std::min(reader.number(Field::Permits), kMaxWanted));
  request.isLastResort = reader.flag(Field::IsLastResort);
  if (reader.error()) {
    return reader.error();
  }
  if (!(perSecond >= 0.0)) {
    return MessageError::Malformed;
  }
  request.perSecond = perSecond;
  return request;
}

} // namespace masticwall
