#pragma once

#include <QByteArray>
#include <cstdint>

namespace masticwall {

/** A record of a stream of the log service. */
struct LogRecord
{
  std::uint64_t offset = 0;
  QByteArray data; ///< the bytes that were appended
};

} // namespace masticwall
