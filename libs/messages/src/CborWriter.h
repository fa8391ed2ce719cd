#pragma once

#include "Field.h"
#include <QCborArray>
#include <QCborMap>
#include <QCborValue>
#include <core/ClaimId.h>
#include <core/Digest.h>
#include <core/EnumNames.h>
#include <string>

namespace masticwall {

/** Builds a CBOR map of fields. Not thread-safe. */
class CborWriter
{
public:
  CborWriter& put(Field aField, const QCborValue& aValue)
  {
    mMap.insert(static_cast<qint64>(aField), aValue);
    return *this;
  }
  CborWriter& text(Field aField, const std::string& aText)
  {
    return put(aField, QString::fromStdString(aText));
  }
  CborWriter& number(Field aField, std::uint64_t aNumber)
  {
    return put(aField, static_cast<qint64>(aNumber));
  }
  CborWriter& flag(Field aField, bool aFlag) { return put(aField, aFlag); }
  CborWriter& digest(Field aField, const Digest& aDigest)
  {
    return put(aField,
               QByteArray(reinterpret_cast<const char*>(aDigest.bytes.data()),
                          static_cast<qsizetype>(aDigest.bytes.size())));
  }
  CborWriter& claimId(Field aField, const ClaimId& aId)
  {
    CborWriter writer;
    writer.text(Field::Vm, aId.vm);
    writer.number(Field::Incarnation, aId.incarnation);
    writer.number(Field::Sequence, aId.sequence);
    return put(aField, writer.map());
  }
  /** Writes an enum value by its name. */
  template<NamedEnum E>
  CborWriter& name(Field aField, E aValue)
  {
    return text(aField, std::string(nameOf(aValue)));
  }

  const QCborMap& map() const { return mMap; }

  /** The map, encoded as CBOR. */
  QByteArray bytes() const { return mMap.toCborValue().toCbor(); }

private:
  QCborMap mMap;
};

} // namespace masticwall
