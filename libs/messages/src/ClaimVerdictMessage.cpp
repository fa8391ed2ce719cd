#include "CborReader.h"
#include "CborWriter.h"
#include <messages/ClaimVerdictMessage.h>

namespace masticwall {

QByteArray
encode(const ClaimVerdict& aVerdict)
{
  CborWriter writer;
  writer.claimId(Field::Claim, aVerdict.claim);
  writer.name(Field::ClaimStatus, aVerdict.claimStatus);
  writer.claimId(Field::Holder, aVerdict.holder);
  return writer.bytes();
}

Result<ClaimVerdict>
decodeClaimVerdict(const QByteArray& aBytes)
{
  CborReader reader(aBytes);
  ClaimVerdict verdict;
  verdict.claim = reader.claimId(Field::Claim);
  verdict.claimStatus = reader.name<ClaimStatus>(Field::ClaimStatus);
  verdict.holder = reader.claimId(Field::Holder);
  if (reader.error()) {
    return reader.error();
  }
  return verdict;
}

} // namespace masticwall
