#pragma once

#include <QByteArray>
#include <QFile>

namespace masticwall::test {

/** The peak resident memory of a process, in KB; -1 if it is not known. */
inline qint64
peakMemoryKb(qint64 aPid)
{
  QFile file(QStringLiteral("/proc/%1/status").arg(aPid));
  if (!file.open(QIODevice::ReadOnly)) {
    return -1;
  }
  for (const auto& line : file.readAll().split('\n')) {
    if (line.startsWith("VmHWM:")) {
      return line.mid(6).trimmed().split(' ').at(0).toLongLong();
    }
  }
  return -1;
}

/** Sets this process's peak to what it uses now. */
inline bool
resetOwnPeakMemory()
{
  QFile file(QStringLiteral("/proc/self/clear_refs"));
  return file.open(QIODevice::WriteOnly) && file.write("5") == 1;
}

} // namespace masticwall::test
