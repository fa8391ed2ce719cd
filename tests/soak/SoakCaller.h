#pragma once

#include "SoakRequest.h"
#include <QHostAddress>
#include <QTcpSocket>
#include <deque>
#include <functional>
#include <http/ResponseParser.h>
#include <memory>
#include <random>
#include <runtime/TimerService.h>

namespace masticwall::test {

/**
 * A caller that keeps its connection until it ends, and sends lookups and orders. Some
 * send lookups before earlier ones are answered, and some leave without waiting. On the
 * main thread.
 */
class SoakCaller
{
public:
  using Sink = std::function<void(const SoakRequest&)>;
  /** The gateway that the platform's balancer gives to a new connection. */
  using Balancer = std::function<int()>;
  using AddressOf = std::function<QHostAddress(int aGateway)>;

  SoakCaller(TimerService& aTimers,
             int aNumber,
             std::uint64_t aSeed,
             Balancer aBalancer,
             AddressOf aAddressOf,
             Sink aSink);
  ~SoakCaller();

  void start();

  /** Sends no further requests. */
  void stop() { mIsStopped = true; }
  bool isIdle() const { return mUnanswered.empty(); }

private:
  void connect();
  void sendNext();
  void scheduleNext(Duration aDelay);
  void onReadable();
  void onAnswer(const http::Response& aResponse);
  void onDisconnected();
  void finish(SoakRequest aRequest);
  void onBrokenAnswer();
  void leave();
  bool draw(double aShare)
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom) < aShare;
  }

  TimerService& mTimers;
  std::string mName;
  std::mt19937_64 mRandom;
  Balancer mBalancer;
  AddressOf mAddressOf;
  Sink mSink;
  bool mIsPipelining;
  std::unique_ptr<QTcpSocket> mSocket;
  std::optional<http::ResponseParser> mParser;
  QByteArray mBytes;
  std::deque<SoakRequest> mUnanswered; ///< on this connection, in order
  int mGateway = 0;
  int mNextRequest = 0;
  bool mIsClosing = false; ///< an answer has said so
  bool mIsStopped = false;
  TimerHandle mSendTimer;
  TimerHandle mGiveUpTimer;
};

} // namespace masticwall::test
