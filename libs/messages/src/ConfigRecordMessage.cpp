#include "CborReader.h"
#include "CborWriter.h"
#include <messages/ConfigRecordMessage.h>

namespace masticwall {

QByteArray
encode(const ConfigRecord& aRecord)
{
  CborWriter writer;
  writer.text(Field::Id, aRecord.id);
  writer.name(Field::Operation, aRecord.operation);
  writer.text(Field::Preset, aRecord.key.preset);
  writer.text(Field::Section, aRecord.key.section);
  writer.number(Field::Base, aRecord.base);
  writer.number(Field::Version, aRecord.version);
  writer.number(Field::MadeAtMs, static_cast<std::uint64_t>(aRecord.writtenAtMs));
  writer.text(Field::Text, aRecord.text);
  return writer.bytes();
}

Result<ConfigRecord>
decodeConfigRecord(const QByteArray& aBytes)
{
  CborReader reader(aBytes);
  ConfigRecord record;
  record.id = reader.text(Field::Id);
  record.operation = reader.name<ConfigOperation>(Field::Operation);
  record.key.preset = reader.text(Field::Preset);
  record.key.section = reader.text(Field::Section);
  record.base = reader.number(Field::Base);
  record.version = reader.number(Field::Version);
  record.writtenAtMs = static_cast<std::int64_t>(reader.number(Field::MadeAtMs));
  record.text = reader.text(Field::Text);
  if (reader.error()) {
    return reader.error();
  }
  return record;
}

} // namespace masticwall
