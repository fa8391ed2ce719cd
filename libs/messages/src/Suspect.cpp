#include "CborWriter.h"
#include "SuspectFields.h"

namespace masticwall {

QCborMap
toMap(const Suspect& aSuspect)
{
  CborWriter writer;
  writer.digest(Field::Request, aSuspect.request);
  writer.text(Field::Vm, aSuspect.reporter);
  writer.number(Field::CrashCount, static_cast<std::uint64_t>(aSuspect.crashCount));
  return writer.map();
}

Result<Suspect>
toSuspect(CborReader aReader)
{
  Suspect suspect;
  suspect.request = aReader.digest(Field::Request);
  suspect.reporter = aReader.text(Field::Vm);
  suspect.crashCount = static_cast<int>(aReader.number(Field::CrashCount));
  if (aReader.error()) {
    return aReader.error();
  }
  return suspect;
}

QByteArray
encode(const Suspect& aSuspect)
{
  return toMap(aSuspect).toCborValue().toCbor();
}

Result<Suspect>
decodeSuspect(const QByteArray& aBytes)
{
  return toSuspect(CborReader(aBytes));
}

} // namespace masticwall
