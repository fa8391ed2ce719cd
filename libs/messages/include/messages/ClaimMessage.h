#pragma once

#include <QByteArray>
#include <core/Result.h>
#include <decide/Claim.h>
#include <messages/ClaimRecord.h>

namespace masticwall {

/**
 * Encodes a single claim, which an entry process sends to its control process, as a
 * ClaimRecord.
 */
inline QByteArray
encode(const Claim& aClaim)
{
  return encode(ClaimRecord{ { aClaim }, {} });
}

/** Fails with a MessageError, or invalid_argument if there is not exactly one claim. */
inline Result<Claim>
decodeClaim(const QByteArray& aBytes)
{
  BOOST_OUTCOME_TRY(record, decodeClaimRecord(aBytes));
  if (record.claims.size() != 1) {
    return std::make_error_code(std::errc::invalid_argument);
  }
  return record.claims.front();
}

} // namespace masticwall
