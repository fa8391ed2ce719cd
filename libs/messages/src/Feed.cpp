#include "CborReader.h"
#include "CborWriter.h"
#include "EvacuationFields.h"
#include "SuspectFields.h"
#include <QtEndian>
#include <algorithm>
#include <core/Bytes.h>
#include <limits>
#include <messages/Feed.h>

namespace masticwall {

namespace {

/** Feeds of this size or more are compressed. */
constexpr qsizetype kCompressionThresholdBytes = 1024;

/**
 * zlib's fastest level, since a VM with a slow CPU may send feeds to many others. VM
 * lists still shrink to a fifth of their size.
 */
constexpr int kCompressionLevel = 1;

/** An older one tells nothing more. */
constexpr std::uint64_t kMaxAgeMs = 86'400'000;

/** A feed that claims to be larger is rejected, before memory is taken for it. */
constexpr quint32 kMaxFeedBytes = 64 * kMiB;

QCborMap
toMap(const Vm& aVm)
{
  CborWriter writer;
  writer.text(Field::Name, aVm.name);
  writer.name(Field::Role, aVm.role);
  writer.text(Field::Region, aVm.region);
  writer.text(Field::DataCentre, aVm.dataCentre);
  writer.text(Field::Service, aVm.service);
  writer.text(Field::Host, aVm.host);
  writer.number(Field::Port, aVm.port);
  writer.number(Field::ControlPort, aVm.controlPort);
  writer.number(Field::OperatorPort, aVm.operatorPort);
  writer.text(Field::Instance, aVm.instance);
  writer.flag(Field::Leaving, aVm.leaving);
  writer.number(Field::Slots, static_cast<std::uint64_t>(aVm.slots));
  writer.flag(Field::IsWarmingUp, aVm.isWarmingUp);
  writer.flag(Field::IsRetained, aVm.isRetained);
  writer.number(Field::Capacity, static_cast<std::uint64_t>(aVm.capacity));
  return writer.map();
}

/** Reads a number up to the highest of type `T`; sets `aIsInRange` to false beyond it. */
template<class T>
T
readNumber(CborReader& aReader, Field aField, bool& aIsInRange)
{
  const auto n = aReader.number(aField);
  aIsInRange =
    aIsInRange && n <= static_cast<std::uint64_t>(std::numeric_limits<T>::max());
  return static_cast<T>(n);
}

Result<Vm>
toVm(const QCborValue& aValue)
{
  bool isInRange = true;
  CborReader reader(aValue);
  Vm vm;
  vm.name = reader.text(Field::Name);
  vm.role = reader.name<VmRole>(Field::Role);
  vm.region = reader.text(Field::Region);
  vm.dataCentre = reader.text(Field::DataCentre);
  vm.service = reader.text(Field::Service);
  vm.host = reader.text(Field::Host);
  vm.port = readNumber<std::uint16_t>(reader, Field::Port, isInRange);
  vm.controlPort = readNumber<std::uint16_t>(reader, Field::ControlPort, isInRange);
  vm.operatorPort = readNumber<std::uint16_t>(reader, Field::OperatorPort, isInRange);
  vm.instance = reader.text(Field::Instance);
  vm.leaving = reader.flag(Field::Leaving);
  vm.slots = readNumber<int>(reader, Field::Slots, isInRange);
  vm.isWarmingUp = reader.flag(Field::IsWarmingUp);
  vm.isRetained = reader.flag(Field::IsRetained);
  vm.capacity = readNumber<int>(reader, Field::Capacity, isInRange);
  if (reader.error()) {
    return reader.error();
  }
  if (!isInRange) {
    return MessageError::Malformed;
  }
  return vm;
}

QCborArray
toArray(const std::vector<VmKey>& aKeys)
{
  QCborArray array;
  for (const auto& it : aKeys) {
    CborWriter writer;
    array.append(writer.name(Field::Role, it.role).text(Field::Name, it.name).map());
  }
  return array;
}

Result<VmKey>
toVmKey(const QCborValue& aValue)
{
  CborReader reader(aValue);
  VmKey key{ reader.name<VmRole>(Field::Role), reader.text(Field::Name) };
  if (reader.error()) {
    return reader.error();
  }
  return key;
}

/** Returns the feed's CBOR, decompressed if it is in Field::Compressed. */
QByteArray
decompressIfNeeded(const QByteArray& aBytes)
{
  CborReader reader(aBytes);
  const auto compressed = reader.bytes(Field::Compressed);
  if (reader.error()) {
    return aBytes;
  }
  // qCompress() writes the uncompressed size first.
  const bool hasSize = compressed.size() >= qsizetype{ sizeof(quint32) };
  if (!hasSize || qFromBigEndian<quint32>(compressed.constData()) > kMaxFeedBytes) {
    return {};
  }
  return qUncompress(compressed);
}

} // namespace

QByteArray
encode(const Feed& aFeed)
{
  QCborArray sections;
  for (const auto& [name, text] : aFeed.sections) {
    CborWriter writer;
    sections.append(writer.text(Field::Section, name).text(Field::Text, text).map());
  }
  QCborArray vms;
  for (const auto& it : aFeed.vms) {
    vms.append(toMap(it));
  }
  QCborArray suspects;
  for (const auto& it : aFeed.suspects) {
    suspects.append(toMap(it));
  }
  CborWriter writer;
  writer.number(Field::Version, aFeed.version);
  writer.text(Field::Preset, aFeed.preset);
  writer.put(Field::Sections, sections);
  writer.flag(Field::IsSectionsDelta, aFeed.isSectionsDelta);
  writer.number(Field::Revision, aFeed.revision);
  writer.put(Field::Vms, vms);
  writer.put(Field::Suspects, suspects);
  writer.flag(Field::IsVmsDelta, aFeed.isVmsDelta);
  writer.put(Field::Removed, toArray(aFeed.removed));
  writer.number(Field::AgeMs, aFeed.ageMs);
  writer.number(Field::ReadSequence, aFeed.readSequence);
  if (aFeed.evacuated.has_value()) {
    writer.put(Field::Evacuated, toArray(*aFeed.evacuated));
  }
  if (aFeed.era.has_value()) {
    writer.number(Field::Era, *aFeed.era);
  }
  auto uncompressed = writer.bytes();
  if (uncompressed.size() < kCompressionThresholdBytes) {
    return uncompressed;
  }
  CborWriter compressed;
  return compressed.put(Field::Compressed, qCompress(uncompressed, kCompressionLevel))
    .bytes();
}

Result<Feed>
decodeFeed(const QByteArray& aBytes)
{
  CborReader reader(decompressIfNeeded(aBytes));
  Feed feed;
  feed.version = reader.number(Field::Version);
  feed.preset = reader.text(Field::Preset);
  feed.revision = reader.number(Field::Revision);
  feed.isSectionsDelta = reader.flag(Field::IsSectionsDelta);
  feed.ageMs = std::min(reader.number(Field::AgeMs), kMaxAgeMs);
  feed.readSequence = reader.number(Field::ReadSequence);
  feed.isVmsDelta = reader.flag(Field::IsVmsDelta);
  // Missing in messages of earlier releases.
  if (const auto era = reader.value(Field::Era); era.isInteger()) {
    feed.era = static_cast<std::uint64_t>(era.toInteger());
  }
  if (const auto evacuated = reader.value(Field::Evacuated); !evacuated.isUndefined()) {
    BOOST_OUTCOME_TRY(list, toEvacuations(evacuated.toArray()));
    feed.evacuated = std::move(list);
  }
  for (const auto& it : reader.array(Field::Removed)) {
    BOOST_OUTCOME_TRY(key, toVmKey(it));
    feed.removed.push_back(std::move(key));
  }
  for (const auto& it : reader.array(Field::Sections)) {
    CborReader section(it);
    feed.sections[section.text(Field::Section)] = section.text(Field::Text);
    if (section.error()) {
      return section.error();
    }
  }
  for (const auto& it : reader.array(Field::Vms)) {
    BOOST_OUTCOME_TRY(vm, toVm(it));
    feed.vms.push_back(std::move(vm));
  }
  for (const auto& it : reader.array(Field::Suspects)) {
    BOOST_OUTCOME_TRY(suspect, toSuspect(CborReader(it)));
    feed.suspects.push_back(suspect);
  }
  if (reader.error()) {
    return reader.error();
  }
  return feed;
}

} // namespace masticwall
