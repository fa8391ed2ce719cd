#include "ProcessCost.h"
#include <QFile>
#include <unistd.h>

namespace masticwall::bench {

namespace {

QByteArray
readProc(qint64 aPid, const char* aName)
{
  QFile file(QStringLiteral("/proc/%1/%2").arg(aPid).arg(QLatin1String(aName)));
  return file.open(QIODevice::ReadOnly) ? file.readAll() : QByteArray();
}

} // namespace

ProcessCost
ProcessCost::of(qint64 aPid)
{
  constexpr int kUser = 12; // the fields after the name: user and system time
  constexpr int kSystem = 13;
  constexpr double kKiB = 1024.0;
  const auto stat = readProc(aPid, "stat").split(')').last().split(' ');
  const auto statm = readProc(aPid, "statm").split(' ');
  ProcessCost cost;
  if (stat.size() <= kSystem || statm.size() < 2) {
    return cost;
  }
  const auto ticks = stat.at(kUser).toDouble() + stat.at(kSystem).toDouble();
  cost.processorSeconds = ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
  cost.residentMiB =
    statm.at(1).toDouble() * static_cast<double>(sysconf(_SC_PAGESIZE)) / kKiB / kKiB;
  // The first line is "rchar: N".
  cost.receivedKiB =
    readProc(aPid, "io").split('\n').first().split(' ').last().toDouble() / kKiB;
  return cost;
}

} // namespace masticwall::bench
