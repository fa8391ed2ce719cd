#pragma once

#include "Field.h"
#include <QByteArray>
#include <QCborArray>
#include <QCborMap>
#include <core/ClaimId.h>
#include <core/Digest.h>
#include <core/EnumNames.h>
#include <messages/MessageError.h>
#include <string>
#include <system_error>

namespace masticwall {

/**
 * Reads the fields of a CBOR map. The first failure sets error() to a MessageError: bytes
 * that are no CBOR map, a missing field, a wrong type or size, or an unknown enum name.
 * The values returned from then on are unspecified. Not thread-safe.
 */
class CborReader
{
public:
  explicit CborReader(const QByteArray& aBytes);
  explicit CborReader(const QCborValue& aValue);

  const std::error_code& error() const { return mError; }

  std::string text(Field aField);
  QByteArray bytes(Field aField);

  /** Reads an integer; a negative one is returned as its two's complement. */
  std::uint64_t number(Field aField);
  bool flag(Field aField);
  QCborArray array(Field aField);

  /** Returns an undefined value if the field is missing; doesn't set error(). */
  QCborValue value(Field aField);

  Digest digest(Field aField);
  ClaimId claimId(Field aField);

  /** Reads an enum value by its name. */
  template<NamedEnum E>
  E name(Field aField)
  {
    const auto found = fromName<E>(text(aField));
    if (!found.has_value()) {
      fail(MessageError::UnknownName);
      return EnumTable<E>::kEntries.front().value;
    }
    return *found;
  }

private:
  void fail(MessageError aError);

  QCborMap mMap;
  std::error_code mError;
};

} // namespace masticwall
