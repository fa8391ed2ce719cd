#include "CborReader.h"
#include "CborWriter.h"
#include <algorithm>
#include <messages/PermitGrantMessage.h>

namespace masticwall {

namespace {

constexpr std::uint64_t kMaxPermits = 10'000;
constexpr std::uint64_t kMaxNextInMs = 10'000;

} // namespace

QByteArray
encode(const PermitGrant& aGrant)
{
  CborWriter writer;
  writer.number(Field::Permits, static_cast<std::uint64_t>(aGrant.permits));
  writer.number(Field::NextInMs,
                static_cast<std::uint64_t>(toMilliseconds(aGrant.nextIn)));
  return writer.bytes();
}

Result<PermitGrant>
decodePermitGrant(const QByteArray& aBytes)
{
  CborReader reader(aBytes);
  PermitGrant grant;
  grant.permits = static_cast<int>(std::min(reader.number(Field::Permits), kMaxPermits));
  const auto nextInMs = std::min(reader.number(Field::NextInMs), kMaxNextInMs);
  grant.nextIn = std::chrono::milliseconds(nextInMs);
  if (reader.error()) {
    return reader.error();
  }
  return grant;
}

} // namespace masticwall
