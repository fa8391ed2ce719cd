#pragma once

#include "Upstream.h"
#include <QTcpSocket>
#include <http/RequestParser.h>
#include <memory>
#include <optional>

namespace masticwall::standin {

/**
 * A connection to an upstream, which can be made to misbehave: a request's
 * Test-Behaviour asks for an answer that is cut, too long, doubled, or missing.
 */
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection>
{
public:
  UpstreamConnection(Upstream& aUpstream, QTcpSocket* aSocket);
  ~UpstreamConnection();

  void start();

private:
  void onReadable();
  void answer(const http::Request& aRequest, const http::Response& aResponse);
  void sendRaw(const RawAnswer& aAnswer);

  Upstream& mUpstream;
  QTcpSocket* mSocket; ///< owned; deleted by Qt later
  QByteArray mBytes;
  QByteArray mLateCopy; ///< of an answer; sent when the next request arrives
  std::optional<http::RequestParser> mParser;
};

} // namespace masticwall::standin
