#include "CborReader.h"
#include "CborWriter.h"
#include <messages/ClaimIdMessage.h>

namespace masticwall {

QByteArray
encode(const ClaimId& aId)
{
  CborWriter writer;
  return writer.claimId(Field::Claim, aId).bytes();
}

Result<ClaimId>
decodeClaimId(const QByteArray& aBytes)
{
  CborReader reader(aBytes);
  auto id = reader.claimId(Field::Claim);
  if (reader.error()) {
    return reader.error();
  }
  return id;
}

} // namespace masticwall
