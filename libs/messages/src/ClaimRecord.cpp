#include "CborReader.h"
#include "CborWriter.h"
#include <messages/ClaimRecord.h>

namespace masticwall {

namespace {

QCborMap
toMap(const Claim& aClaim)
{
  CborWriter writer;
  writer.claimId(Field::Id, aClaim.id);
  writer.digest(Field::Key, aClaim.key);
  writer.digest(Field::Request, aClaim.request);
  writer.number(Field::MadeAtMs, static_cast<std::uint64_t>(aClaim.madeAtMs));
  return writer.map();
}

Result<Claim>
toClaim(const QCborValue& aValue)
{
  CborReader reader(aValue);
  Claim claim;
  claim.id = reader.claimId(Field::Id);
  claim.key = reader.digest(Field::Key);
  claim.request = reader.digest(Field::Request);
  claim.madeAtMs = static_cast<std::int64_t>(reader.number(Field::MadeAtMs));
  if (reader.error()) {
    return reader.error();
  }
  return claim;
}

} // namespace

QByteArray
encode(const ClaimRecord& aRecord)
{
  QCborArray claims;
  for (const auto& it : aRecord.claims) {
    claims.append(toMap(it));
  }
  QCborArray releases;
  for (const auto& it : aRecord.releases) {
    CborWriter writer;
    releases.append(writer.claimId(Field::Id, it).map());
  }
  CborWriter writer;
  return writer.put(Field::Claims, claims).put(Field::Releases, releases).bytes();
}

Result<ClaimRecord>
decodeClaimRecord(const QByteArray& aBytes)
{
  CborReader reader(aBytes);
  ClaimRecord record;
  for (const auto& it : reader.array(Field::Claims)) {
    BOOST_OUTCOME_TRY(claim, toClaim(it));
    record.claims.push_back(std::move(claim));
  }
  for (const auto& it : reader.array(Field::Releases)) {
    CborReader release(it);
    record.releases.push_back(release.claimId(Field::Id));
    if (release.error()) {
      return release.error();
    }
  }
  if (reader.error()) {
    return reader.error();
  }
  return record;
}

} // namespace masticwall
