#pragma once

#include "RawResponse.h"
#include <QHostAddress>
#include <QTcpSocket>
#include <http/Request.h>
#include <http/Response.h>
#include <optional>
#include <string>

namespace masticwall::test {

/** One caller's connection, written to and read from by hand. */
class TestCaller
{
public:
  TestCaller(const QHostAddress& aHost, quint16 aPort);

  bool isConnected() const { return mSocket.state() == QAbstractSocket::ConnectedState; }
  void send(const QByteArray& aBytes);
  void send(const http::Request& aRequest);

  /** The next whole response; nothing if the connection ends or `aMostMs` pass. */
  std::optional<http::Response> receive(int aMostMs = 15'000, bool aIsHead = false);

  /** As receive(), without the product's parser. */
  std::optional<RawResponse> receiveRaw(int aMostMs = 15'000);

  /** What has come after the responses that were received. */
  QByteArray takeRest();

  /** Runs the event loop until the other end closes. */
  bool waitForClose(int aMostMs = 15'000);

  /** Ends the connection at once. */
  void hangUp();

private:
  QTcpSocket mSocket;
  QByteArray mBytes;
};

/** Makes a request as callers do. */
http::Request
makeRequest(const std::string& aMethod,
            const std::string& aTarget,
            const http::HeaderList& aHeaders = {},
            const std::string& aBody = {});

/** Sends one request on a connection of its own. */
std::optional<http::Response>
callOnce(const QHostAddress& aHost,
         quint16 aPort,
         const http::Request& aRequest,
         int aMostMs = 15'000);

/** The status code of a response; 0 without one. */
int
statusOf(const std::optional<http::Response>& aResponse);

/** What a response says became of the call: the Masticwall-Outcome field. */
std::string
outcomeOf(const http::Response& aResponse);

/** Why: the Masticwall-Reason field. */
std::string
reasonOf(const http::Response& aResponse);

} // namespace masticwall::test
