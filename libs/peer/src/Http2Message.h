#pragma once

#include <QByteArray>
#include <string>

namespace masticwall {

/** A request or reply as it came over a stream. */
struct Http2Message
{
  std::string path;   ///< of a request
  std::string status; ///< of a reply
  QByteArray body;
};

} // namespace masticwall
