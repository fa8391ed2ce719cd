#include "Http2Session.h"
#include <algorithm>
#include <core/Bytes.h>
#include <cstring>
#include <utility>

namespace masticwall {

namespace {

constexpr std::uint32_t kMaxConcurrentStreams = 10'000;
constexpr std::int32_t kFlowControlWindowBytes = 4 * kMiB;
/** A larger body fails the session: its connection is closed. */
constexpr qsizetype kMaxBodyBytes = 16 * kMiB;

nghttp2_nv
makeField(std::string_view aName, std::string_view aValue)
{
  // nghttp2 copies names and values; its struct just has non-const pointers.
  auto* const name = reinterpret_cast<std::uint8_t*>(const_cast<char*>(aName.data()));
  auto* const value = reinterpret_cast<std::uint8_t*>(const_cast<char*>(aValue.data()));
  return { name, value, aName.size(), aValue.size(), NGHTTP2_NV_FLAG_NONE };
}

} // namespace

/** The functions that nghttp2 calls; `aUserData` is the session. */
struct NgHttp2Callbacks
{
  static Http2Session& self(void* aUserData)
  {
    return *static_cast<Http2Session*>(aUserData);
  }

  static int onHeader(nghttp2_session* /*aSession*/,
                      const nghttp2_frame* aFrame,
                      const std::uint8_t* aName,
                      std::size_t aNameSize,
                      const std::uint8_t* aValue,
                      std::size_t aValueSize,
                      std::uint8_t /*aFlags*/,
                      void* aUserData)
  {
    const std::string_view name(reinterpret_cast<const char*>(aName), aNameSize);
    const std::string value(reinterpret_cast<const char*>(aValue), aValueSize);
    auto& incoming = self(aUserData).mStreams[aFrame->hd.stream_id].incoming;
    if (name == ":path") {
      incoming.path = value;
    } else if (name == ":status") {
      incoming.status = value;
    }
    return 0;
  }

  static int onData(nghttp2_session* /*aSession*/,
                    std::uint8_t /*aFlags*/,
                    std::int32_t aStream,
                    const std::uint8_t* aData,
                    std::size_t aSize,
                    void* aUserData)
  {
    auto& body = self(aUserData).mStreams[aStream].incoming.body;
    if (body.size() + static_cast<qsizetype>(aSize) > kMaxBodyBytes) {
      return NGHTTP2_ERR_CALLBACK_FAILURE;
    }
    body.append(reinterpret_cast<const char*>(aData), static_cast<qsizetype>(aSize));
    return 0;
  }

  static int onFrame(nghttp2_session* /*aSession*/,
                     const nghttp2_frame* aFrame,
                     void* aUserData)
  {
    const bool isMessage =
      aFrame->hd.type == NGHTTP2_DATA || aFrame->hd.type == NGHTTP2_HEADERS;
    if (isMessage && (aFrame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
      auto& session = self(aUserData);
      auto message = std::move(session.mStreams[aFrame->hd.stream_id].incoming);
      session.mCallbacks.onMessage(aFrame->hd.stream_id, std::move(message));
    }
    return 0;
  }

  static int onStreamClose(nghttp2_session* /*aSession*/,
                           std::int32_t aStream,
                           std::uint32_t /*aErrorCode*/,
                           void* aUserData)
  {
    auto& session = self(aUserData);
    session.mStreams.erase(aStream);
    session.mCallbacks.onStreamClosed(aStream);
    return 0;
  }

  static ssize_t readBody(nghttp2_session* /*aSession*/,
                          std::int32_t aStream,
                          std::uint8_t* aBuffer,
                          std::size_t aSize,
                          std::uint32_t* aFlags,
                          nghttp2_data_source* /*aSource*/,
                          void* aUserData)
  {
    auto& stream = self(aUserData).mStreams[aStream];
    const auto left = stream.outgoing.size() - stream.sent;
    const auto n = std::min(left, static_cast<qsizetype>(aSize));
    std::memcpy(
      aBuffer, stream.outgoing.constData() + stream.sent, static_cast<std::size_t>(n));
    stream.sent += n;
    if (stream.sent == stream.outgoing.size()) {
      *aFlags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return n;
  }
};

Http2Session::Http2Session(Http2Role aRole,
                           QTcpSocket* aSocket,
                           TimerService& aTimers,
                           const PeerTimeouts& aTimeouts,
                           Callbacks aCallbacks)
  : mSocket(aSocket)
  , mTimers(aTimers)
  , mTimeouts(aTimeouts)
  , mCallbacks(std::move(aCallbacks))
  , mRole(aRole)
  , mLastReceivedAt(aTimers.now())
  , mLastCheckAt(mLastReceivedAt)
{
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, NgHttp2Callbacks::onHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                            NgHttp2Callbacks::onData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks,
                                                       NgHttp2Callbacks::onFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                         NgHttp2Callbacks::onStreamClose);
  if (aRole == Http2Role::Client) {
    nghttp2_session_client_new(&mSession, callbacks, this);
  } else {
    nghttp2_session_server_new(&mSession, callbacks, this);
  }
  nghttp2_session_callbacks_del(callbacks);
}

Http2Session::~Http2Session()
{
  nghttp2_session_del(mSession);
  mSocket->disconnect();
  mSocket->deleteLater();
}

void
Http2Session::start()
{
  mSocket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  const std::array<nghttp2_settings_entry, 2> settings{ {
    { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxConcurrentStreams },
    { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kFlowControlWindowBytes },
  } };
  nghttp2_submit_settings(mSession, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
  nghttp2_session_set_local_window_size(
    mSession, NGHTTP2_FLAG_NONE, 0, kFlowControlWindowBytes);
  const std::weak_ptr<Http2Session> weak = weak_from_this();
  QObject::connect(mSocket, &QTcpSocket::readyRead, mSocket, [weak] {
    if (const auto session = weak.lock()) {
      session->onReadable();
    }
  });
  QObject::connect(mSocket, &QTcpSocket::disconnected, mSocket, [weak] {
    if (const auto session = weak.lock()) {
      session->closeAsLost(false);
    }
  });
  mCheckTimer = mTimers.scheduleEvery(mTimeouts.pingPeriod, [weak] {
    if (const auto session = weak.lock()) {
      session->checkLiveness();
    }
  });
  sendPending();
  onReadable();
}

std::int32_t
Http2Session::submitRequest(const std::string& aPath, QByteArray aBody)
{
  const std::array<nghttp2_nv, 4> fields{ {
    makeField(":method", "POST"),
    makeField(":scheme", "http"),
    makeField(":authority", "masticwall"),
    makeField(":path", aPath),
  } };
  const auto provider = makeDataProvider(0);
  const auto stream = nghttp2_submit_request(
    mSession, nullptr, fields.data(), fields.size(), &provider, nullptr);
  if (stream > 0) {
    mStreams[stream].outgoing = std::move(aBody);
    sendPending();
  }
  return stream;
}

void
Http2Session::submitReply(std::int32_t aStream, const char* aStatus, QByteArray aBody)
{
  const auto it = mStreams.find(aStream);
  if (mIsConnectionLost || it == mStreams.end()) {
    return;
  }
  it->second.outgoing = std::move(aBody);
  const std::array<nghttp2_nv, 1> fields{ { makeField(":status", aStatus) } };
  const auto provider = makeDataProvider(aStream);
  nghttp2_submit_response(mSession, aStream, fields.data(), fields.size(), &provider);
  sendPending();
}

void
Http2Session::resetStream(std::int32_t aStream)
{
  nghttp2_submit_rst_stream(mSession, NGHTTP2_FLAG_NONE, aStream, NGHTTP2_CANCEL);
  sendPending();
}

nghttp2_data_provider
Http2Session::makeDataProvider(std::int32_t aStream)
{
  nghttp2_data_provider provider = {};
  provider.source.fd = aStream;
  provider.read_callback = NgHttp2Callbacks::readBody;
  return provider;
}

void
Http2Session::onReadable()
{
  const auto self = shared_from_this();
  const auto bytes = mSocket->readAll();
  if (mIsConnectionLost || bytes.isEmpty()) {
    return;
  }
  mLastReceivedAt = mTimers.now();
  mIsReceiving = true;
  const auto n =
    nghttp2_session_mem_recv(mSession,
                             reinterpret_cast<const std::uint8_t*>(bytes.constData()),
                             static_cast<std::size_t>(bytes.size()));
  mIsReceiving = false;
  if (n < 0) {
    closeAsLost(false);
    return;
  }
  sendPending();
}

void
Http2Session::sendPending()
{
  // Qt writes from the event loop, so this does not come back here through onReadable().
  while (!mIsConnectionLost && !mIsReceiving) {
    const std::uint8_t* data = nullptr;
    const auto n = nghttp2_session_mem_send(mSession, &data);
    if (n <= 0) {
      break;
    }
    mSocket->write(reinterpret_cast<const char*>(data), n);
  }
}

void
Http2Session::checkLiveness()
{
  const auto now = mTimers.now();
  if (now - std::exchange(mLastCheckAt, now) > 2 * mTimeouts.pingPeriod) {
    // This process was paused: bytes that the peer sent meanwhile are not read yet.
    mLastReceivedAt = now;
  }
  if (now - mLastReceivedAt > mTimeouts.receiveTimeout) {
    closeAsLost(true);
    return;
  }
  if (mRole == Http2Role::Client) {
    nghttp2_submit_ping(mSession, NGHTTP2_FLAG_NONE, nullptr);
    sendPending();
  }
}

void
Http2Session::closeAsLost(bool aIsSilent)
{
  if (mIsConnectionLost) {
    return;
  }
  mIsConnectionLost = true;
  mCheckTimer.cancel();
  const auto self = shared_from_this();
  mSocket->disconnect();
  mSocket->abort();
  mCallbacks.onConnectionLost(aIsSilent);
}

} // namespace masticwall
