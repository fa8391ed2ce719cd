#include "CborReader.h"
#include <QCborValue>
#include <algorithm>

namespace masticwall {

CborReader::CborReader(const QByteArray& aBytes)
  : CborReader(QCborValue::fromCbor(aBytes))
{
}

CborReader::CborReader(const QCborValue& aValue)
{
  if (!aValue.isMap()) {
    fail(MessageError::Malformed);
    return;
  }
  mMap = aValue.toMap();
}

std::string
CborReader::text(Field aField)
{
  const auto found = value(aField);
  if (!found.isString()) {
    fail(MessageError::FieldMissing);
  }
  return found.toString().toStdString();
}

QByteArray
CborReader::bytes(Field aField)
{
  const auto found = value(aField);
  if (!found.isByteArray()) {
    fail(MessageError::FieldMissing);
  }
  return found.toByteArray();
}

std::uint64_t
CborReader::number(Field aField)
{
  const auto found = value(aField);
  if (!found.isInteger()) {
    fail(MessageError::FieldMissing);
  }
  return static_cast<std::uint64_t>(found.toInteger());
}

bool
CborReader::flag(Field aField)
{
  const auto found = value(aField);
  if (!found.isBool()) {
    fail(MessageError::FieldMissing);
  }
  return found.toBool();
}

QCborArray
CborReader::array(Field aField)
{
  const auto found = value(aField);
  if (!found.isArray()) {
    fail(MessageError::FieldMissing);
  }
  return found.toArray();
}

QCborValue
CborReader::value(Field aField)
{
  return mMap.value(static_cast<qint64>(aField));
}

Digest
CborReader::digest(Field aField)
{
  const auto found = bytes(aField);
  Digest digest;
  if (found.size() != static_cast<qsizetype>(digest.bytes.size())) {
    fail(MessageError::FieldMissing);
    return digest;
  }
  std::copy(found.begin(), found.end(), digest.bytes.begin());
  return digest;
}

ClaimId
CborReader::claimId(Field aField)
{
  CborReader reader(value(aField));
  ClaimId id;
  id.vm = reader.text(Field::Vm);
  id.incarnation = reader.number(Field::Incarnation);
  id.sequence = reader.number(Field::Sequence);
  if (reader.error()) {
    fail(MessageError::FieldMissing);
  }
  return id;
}

void
CborReader::fail(MessageError aError)
{
  if (!mError) {
    mError = aError;
  }
}

} // namespace masticwall
