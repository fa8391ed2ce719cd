#include "CborWriter.h"
#include "SuspectFields.h"
#include <algorithm>
#include <limits>

namespace masticwall {

namespace {

/** A count of another process; too large a one would overflow sums. */
int
toCount(std::uint64_t aNumber)
{
  constexpr std::uint64_t kMaxCount = 1'000'000;
  return static_cast<int>(std::min(aNumber, kMaxCount));
}

} // namespace

QCborMap
toMap(const SuspectCount& aCount)
{
  CborWriter writer;
  writer.digest(Field::Request, aCount.request);
  writer.text(Field::Vm, aCount.reporter);
  writer.number(Field::CrashCount, static_cast<std::uint64_t>(aCount.crashes));
  writer.number(Field::ClearedCount, static_cast<std::uint64_t>(aCount.cleared));
  return writer.map();
}

Result<SuspectCount>
toSuspect(CborReader aReader)
{
  SuspectCount count;
  count.request = aReader.digest(Field::Request);
  count.reporter = aReader.text(Field::Vm);
  count.crashes = toCount(aReader.number(Field::CrashCount));
  // Missing in messages of earlier releases.
  const auto cleared = aReader.value(Field::ClearedCount).toInteger(0);
  count.cleared = toCount(static_cast<std::uint64_t>(std::max<qint64>(0, cleared)));
  if (aReader.error()) {
    return aReader.error();
  }
  return count;
}

QByteArray
encode(const SuspectCount& aCount)
{
  return toMap(aCount).toCborValue().toCbor();
}

Result<SuspectCount>
decodeSuspect(const QByteArray& aBytes)
{
  return toSuspect(CborReader(aBytes));
}

} // namespace masticwall
