#pragma once

#include <QtGlobal>

namespace masticwall::bench {

/** What a process has cost so far, as its /proc entries say. */
struct ProcessCost
{
  double processorSeconds = 0.0;
  double residentMiB = 0.0;
  double receivedKiB = 0.0; ///< bytes read, of sockets for the most part

  static ProcessCost of(qint64 aPid);
};

} // namespace masticwall::bench
