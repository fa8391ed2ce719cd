#pragma once

#include "Http2Message.h"
#include "Http2Side.h"
#include <QTcpSocket>
#include <functional>
#include <map>
#include <memory>
#include <nghttp2/nghttp2.h>
#include <peer/PeerTimes.h>
#include <runtime/TimerService.h>

namespace masticwall {

/**
 * An nghttp2 session over a connected Qt socket. Owns the socket. Always held by a
 * std::shared_ptr, so that a callback may drop it.
 */
class Http2Session : public std::enable_shared_from_this<Http2Session>
{
public:
  struct Callbacks
  {
    std::function<void(std::int32_t aStream, Http2Message)> onMessage;
    std::function<void(std::int32_t aStream)> onStreamClosed;
    std::function<void(bool aIsSilent)> onLost;
  };

  Http2Session(Http2Side aSide,
               QTcpSocket* aSocket,
               TimerService& aTimers,
               const PeerTimes& aTimes,
               Callbacks aCallbacks);
  ~Http2Session();

  /** Exchanges settings and begins to read. Call once, after the object is shared. */
  void start();

  /** The new stream's number, or a negative number if the session takes none. */
  std::int32_t submitRequest(const std::string& aPath, QByteArray aBody);
  void submitReply(std::int32_t aStream, const char* aStatus, QByteArray aBody);
  void resetStream(std::int32_t aStream);

private:
  struct Stream
  {
    Http2Message incoming;
    QByteArray outgoing;
    qsizetype sent = 0;
  };

  friend struct Http2Hooks;

  void onReadable();
  void sendPending();
  void watch();
  void lose(bool aIsSilent);
  nghttp2_data_provider providerOf(std::int32_t aStream);

  QTcpSocket* mSocket;
  TimerService& mTimers;
  PeerTimes mTimes;
  Callbacks mCallbacks;
  Http2Side mSide;
  nghttp2_session* mSession = nullptr;
  std::map<std::int32_t, Stream> mStreams;
  Instant mLastHeard;
  Instant mLastWatch; ///< tells a pause of this process from a silent peer
  TimerHandle mWatch;
  bool mIsReceiving = false; ///< nghttp2 must not be asked to send from its callbacks
  bool mIsLost = false;
};

} // namespace masticwall
