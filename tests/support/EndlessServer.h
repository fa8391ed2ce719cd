#pragma once

#include <QByteArray>
#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <core/Bytes.h>
#include <vector>

namespace masticwall::test {

/** Sends a beginning, then a unit again and again until the connection ends. */
struct EndlessScript
{
  const char* name;
  QByteArray beginning;
  QByteArray unit;
};

/** Bytes without end in each place of a response; "Request-Id: own" is in their heads. */
inline std::vector<EndlessScript>
endlessScripts(qsizetype aFillerBytes = qsizetype{ 8 * kKiB })
{
  const QByteArray filler(aFillerBytes, 'x');
  const QByteArray head = "HTTP/1.1 200 OK\r\nRequest-Id: own\r\n";
  return {
    { "no HTTP at all", "", filler },
    { "a header line without end", head + "Long: ", filler },
    { "header lines without end", head, "Line: value\r\n" },
    { "a chunk's extension without end",
      head + "Transfer-Encoding: chunked\r\n\r\n1;",
      filler },
    { "chunks with long extensions",
      head + "Transfer-Encoding: chunked\r\n\r\n",
      "1;" + filler + "\r\nx\r\n" },
    { "chunks without end", head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n" },
    { "a trailer line without end",
      head + "Transfer-Encoding: chunked\r\n\r\n0\r\nTrailer: ",
      filler },
    { "trailer lines without end",
      head + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
      "Line: value\r\n" },
    { "interim responses without end", "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "responses to other requests without end",
      "",
      "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 2\r\n\r\nno" },
    { "a body without length and end", head + "\r\n", filler },
    { "a length beyond the limit", head + "Content-Length: 99999999999\r\n\r\n", filler },
  };
}

/** A server that plays a script to each connection, as fast as it is read. */
class EndlessServer
{
public:
  explicit EndlessServer(EndlessScript aScript,
                         const QHostAddress& aHost = QHostAddress::LocalHost,
                         std::uint16_t aPort = 0)
    : mScript(std::move(aScript))
  {
    QObject::connect(&mServer, &QTcpServer::newConnection, &mServer, [this] {
      auto* const socket = mServer.nextPendingConnection();
      QObject::connect(
        socket, &QTcpSocket::disconnected, socket, [this] { isClosed = true; });
      QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
        socket->readAll();
        write(*socket, mScript.beginning);
        writeUnits(*socket);
      });
      QObject::connect(socket, &QTcpSocket::bytesWritten, socket, [this, socket] {
        writeUnits(*socket);
      });
    });
    mServer.listen(aHost, aPort);
  }

  std::uint16_t port() const { return mServer.serverPort(); }

  bool isClosed = false;
  qint64 bytesSent = 0; ///< up to what the sockets buffer

private:
  static constexpr qint64 kMaxUnwritten = 64 * kKiB;

  void write(QTcpSocket& aSocket, const QByteArray& aBytes)
  {
    bytesSent += aBytes.size();
    aSocket.write(aBytes);
  }

  void writeUnits(QTcpSocket& aSocket)
  {
    while (aSocket.state() == QTcpSocket::ConnectedState &&
           aSocket.bytesToWrite() < kMaxUnwritten) {
      write(aSocket, mScript.unit);
    }
  }

  QTcpServer mServer;
  EndlessScript mScript;
};

} // namespace masticwall::test
