#include "CborReader.h"
#include "CborWriter.h"
#include <messages/LeavingNotice.h>

namespace masticwall {

QByteArray
encode(const LeavingNotice& aNotice)
{
  CborWriter writer;
  writer.text(Field::Vm, aNotice.vm).text(Field::Instance, aNotice.instance);
  return writer.bytes();
}

Result<LeavingNotice>
decodeLeavingNotice(const QByteArray& aBytes)
{
  CborReader reader(aBytes);
  LeavingNotice notice{ reader.text(Field::Vm), reader.text(Field::Instance) };
  if (reader.error()) {
    return reader.error();
  }
  return notice;
}

} // namespace masticwall
