#include <telemetry/CallStatistics.h>

namespace masticwall {

namespace {

double
toMicroseconds(Duration aDuration)
{
  constexpr double kNanosecondsPerMicrosecond = 1000.0;
  return static_cast<double>(aDuration.count()) / kNanosecondsPerMicrosecond;
}

QString
toQString(std::string_view aText)
{
  return QString::fromUtf8(aText.data(), static_cast<qsizetype>(aText.size()));
}

} // namespace

void
CallStatistics::add(const EndedCall& aCall)
{
  std::scoped_lock lock(mMutex);
  auto& rank = mRanks[indexOf(aCall.rank)];
  ++rank.counts[aCall.result()];
  if (aCall.outcome == Outcome::Answered) {
    rank.latency.add(aCall.totalTime);
  }
}

QJsonObject
CallStatistics::toJson() const
{
  std::scoped_lock lock(mMutex);
  QJsonObject ranks;
  for (const auto& it : EnumTable<Rank>::kEntries) {
    const auto& rank = mRanks[indexOf(it.value)];
    QJsonObject counts;
    for (const auto& [label, n] : rank.counts) {
      counts[toQString(label)] = static_cast<qint64>(n);
    }
    ranks[toQString(it.name)] = QJsonObject{
      { QStringLiteral("counts"), counts },
      { QStringLiteral("p50Us"), toMicroseconds(rank.latency.median()) },
      { QStringLiteral("p99Us"), toMicroseconds(rank.latency.p99()) },
      { QStringLiteral("p999Us"), toMicroseconds(rank.latency.p999()) },
    };
  }
  return ranks;
}

} // namespace masticwall
