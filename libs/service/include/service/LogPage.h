#pragma once

#include <service/LogRecord.h>
#include <vector>

namespace masticwall {

/** The result of one read of a stream. */
struct LogPage
{
  std::uint64_t first = 0; ///< the oldest offset that the log still has
  std::uint64_t head = 0;  ///< the offset that the next append will get
  std::vector<LogRecord> records;
};

} // namespace masticwall
