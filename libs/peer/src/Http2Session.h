#pragma once

#include "Http2Message.h"
#include "Http2Role.h"
#include <QTcpSocket>
#include <functional>
#include <map>
#include <memory>
#include <nghttp2/nghttp2.h>
#include <peer/PeerTimeouts.h>
#include <runtime/TimerService.h>

namespace masticwall {

/**
 * An nghttp2 session over a connected Qt socket. Owns the socket. Always owned by a
 * std::shared_ptr, so that a callback may release it. Use it on one thread only.
 */
class Http2Session : public std::enable_shared_from_this<Http2Session>
{
public:
  /** Called on the session's thread. */
  struct Callbacks
  {
    /** A complete request or reply was received. */
    std::function<void(std::int32_t aStream, Http2Message)> onMessage;
    std::function<void(std::int32_t aStream)> onStreamClosed;
    /** The connection was closed; `aIsSilent`: no byte was received for too long. */
    std::function<void(bool aIsSilent)> onConnectionLost;
  };

  Http2Session(Http2Role aRole,
               QTcpSocket* aSocket,
               TimerService& aTimers,
               const PeerTimeouts& aTimeouts,
               Callbacks aCallbacks);
  ~Http2Session();

  /** Sends the HTTP/2 settings and starts reading. Call once, when a shared_ptr exists.
   */
  void start();

  /** Returns the new stream's id, or a negative nghttp2 error code. */
  std::int32_t submitRequest(const std::string& aPath, QByteArray aBody);

  /** Ignored if the stream or the connection is closed. */
  void submitReply(std::int32_t aStream, const char* aStatus, QByteArray aBody);

  /** Cancels a stream (RST_STREAM). */
  void resetStream(std::int32_t aStream);

private:
  /** An open stream, with the message received so far and the one being sent. */
  struct Stream
  {
    Http2Message incoming;
    QByteArray outgoing; ///< the body to send
    qsizetype sent = 0;  ///< bytes of `outgoing` that nghttp2 has taken
  };

  friend struct NgHttp2Callbacks;

  void onReadable();
  void sendPending();
  void checkLiveness();
  void closeAsLost(bool aIsSilent);
  nghttp2_data_provider makeDataProvider(std::int32_t aStream);

  QTcpSocket* mSocket;
  TimerService& mTimers;
  PeerTimeouts mTimeouts;
  Callbacks mCallbacks;
  Http2Role mRole;
  nghttp2_session* mSession = nullptr;
  std::map<std::int32_t, Stream> mStreams;
  Instant mLastReceivedAt;
  Instant mLastCheckAt; ///< a late check means that this process was paused
  TimerHandle mCheckTimer;
  bool mIsReceiving = false; ///< nghttp2 must not be called to send from its callbacks
  bool mIsConnectionLost = false;
};

} // namespace masticwall
