#pragma once

#include <decide/ConfigRecord.h>
#include <decide/ConfigVerdict.h>

namespace masticwall {

/** A configuration record, its log offset, and the verdict of its replay. */
struct HistoryEntry
{
  std::uint64_t offset = 0;
  ConfigRecord record;
  ConfigVerdict verdict = ConfigVerdict::Known;

  /** The record's version, see ConfigReplay::apply(). */
  std::uint64_t version() const { return offset + 1; }
};

} // namespace masticwall
