#include "EvacuationFields.h"
#include "CborReader.h"
#include "CborWriter.h"

namespace masticwall {

namespace {

/** Longer times come from no release. */
constexpr qint64 kMaxKeptForMs = 24LL * 60 * 60 * 1000;

} // namespace

QCborArray
toArray(const std::vector<Evacuation>& aEvacuations)
{
  QCborArray array;
  for (const auto& it : aEvacuations) {
    CborWriter writer;
    writer.text(Field::DataCentre, it.dataCentre);
    if (it.keptFor > Duration{ 0 }) {
      // Rounded up: 0 would say that the source lists it.
      const auto ms = std::chrono::ceil<std::chrono::milliseconds>(it.keptFor);
      writer.number(Field::KeptForMs, static_cast<std::uint64_t>(ms.count()));
    }
    array.append(writer.map());
  }
  return array;
}

Result<std::vector<Evacuation>>
toEvacuations(const QCborArray& aArray)
{
  std::vector<Evacuation> evacuations;
  for (const auto& it : aArray) {
    CborReader reader(it);
    Evacuation evacuation{ reader.text(Field::DataCentre) };
    if (reader.error()) {
      return reader.error();
    }
    const auto keptFor = reader.value(Field::KeptForMs);
    const bool isInRange =
      keptFor.isUndefined() || (keptFor.isInteger() && keptFor.toInteger() > 0 &&
                                keptFor.toInteger() <= kMaxKeptForMs);
    if (!isInRange) {
      return MessageError::Malformed;
    }
    evacuation.keptFor = std::chrono::milliseconds(keptFor.toInteger(0));
    evacuations.push_back(std::move(evacuation));
  }
  return evacuations;
}

} // namespace masticwall
