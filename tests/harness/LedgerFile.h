#pragma once

#include <QString>
#include <map>
#include <set>
#include <string>

namespace masticwall::test {

/** What an upstream's ledger says so far. */
struct LedgerFile
{
  std::map<std::string, int> runsByKey;     ///< of requests with an idempotency key
  std::map<std::string, int> arrivalsByKey; ///< runs and rejections
  int runs = 0;
  int probes = 0;
  int rejections = 0;   ///< requests that the upstream did not run, as it was full
  int afterLeaving = 0; ///< requests that came while the upstream was leaving
  std::set<std::string> failedTargets; ///< of requests that it ran and answered with 500

  /** All requests that reached the upstream. */
  int requests() const { return runs + probes + rejections; }

  static LedgerFile read(const QString& aFile);

  /** Adds another upstream's counts. */
  void add(const LedgerFile& aOther);

  /** The runs of one key. */
  int runsOf(const std::string& aKey) const;
};

} // namespace masticwall::test
