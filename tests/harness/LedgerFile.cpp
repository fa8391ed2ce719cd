#include "LedgerFile.h"
#include <QFile>

namespace masticwall::test {

LedgerFile
LedgerFile::read(const QString& aFile)
{
  LedgerFile ledger;
  QFile file(aFile);
  if (!file.open(QIODevice::ReadOnly)) {
    return ledger;
  }
  for (const auto& line : file.readAll().split('\n')) {
    if (line == "probe") {
      ++ledger.probes;
    } else if (line.startsWith("shed ")) {
      ++ledger.rejections;
      ++ledger.arrivalsByKey[line.mid(5).toStdString()];
    } else if (line == "after-leaving") {
      ++ledger.afterLeaving;
    } else if (line.startsWith("failed ")) {
      ledger.failedTargets.insert(line.split(' ').at(1).toStdString());
    } else if (line.startsWith("run ")) {
      ++ledger.runs;
      const auto key = line.split(' ').at(1).toStdString();
      if (!key.empty()) {
        ++ledger.runsByKey[key];
        ++ledger.arrivalsByKey[key];
      }
    }
  }
  return ledger;
}

void
LedgerFile::add(const LedgerFile& aOther)
{
  runs += aOther.runs;
  probes += aOther.probes;
  rejections += aOther.rejections;
  afterLeaving += aOther.afterLeaving;
  failedTargets.insert(aOther.failedTargets.begin(), aOther.failedTargets.end());
  for (const auto& [key, n] : aOther.runsByKey) {
    runsByKey[key] += n;
  }
  for (const auto& [key, n] : aOther.arrivalsByKey) {
    arrivalsByKey[key] += n;
  }
}

int
LedgerFile::runsOf(const std::string& aKey) const
{
  const auto it = runsByKey.find(aKey);
  return it == runsByKey.end() ? 0 : it->second;
}

} // namespace masticwall::test
