#include "CborReader.h"
#include "CborWriter.h"
#include <messages/ConfigStateMessage.h>

namespace masticwall {

QByteArray
encode(const ConfigState& aState)
{
  QCborArray sections;
  for (const auto& [key, section] : aState.sections) {
    CborWriter writer;
    writer.text(Field::Preset, key.preset);
    writer.text(Field::Section, key.section);
    writer.number(Field::Version, section.version);
    writer.text(Field::Text, section.text);
    sections.append(writer.map());
  }
  CborWriter writer;
  writer.number(Field::Version, aState.version);
  writer.text(Field::ActivePreset, aState.activePreset);
  writer.number(Field::SwitchVersion, aState.switchVersion);
  writer.put(Field::Sections, sections);
  return writer.bytes();
}

Result<ConfigState>
decodeConfigState(const QByteArray& aBytes)
{
  CborReader reader(aBytes);
  ConfigState state;
  state.version = reader.number(Field::Version);
  state.activePreset = reader.text(Field::ActivePreset);
  state.switchVersion = reader.number(Field::SwitchVersion);
  for (const auto& it : reader.array(Field::Sections)) {
    CborReader section(it);
    const SectionKey key{ section.text(Field::Preset), section.text(Field::Section) };
    state.sections[key] = { section.number(Field::Version), section.text(Field::Text) };
    if (section.error()) {
      return section.error();
    }
  }
  if (reader.error()) {
    return reader.error();
  }
  return state;
}

} // namespace masticwall
