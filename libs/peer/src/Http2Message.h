#pragma once

#include <QByteArray>
#include <string>

namespace masticwall {

/** A request or reply received on a stream. */
struct Http2Message
{
  std::string path;   ///< of a request; empty in a reply
  std::string status; ///< of a reply; empty in a request
  QByteArray body;
};

} // namespace masticwall
