#pragma once

#include "Ledger.h"
#include "Options.h"
#include "RawAnswer.h"
#include <deque>
#include <functional>
#include <http/Request.h>
#include <http/Response.h>
#include <random>
#include <runtime/TimerService.h>

namespace masticwall::standin {

/**
 * An upstream: slots, a queue, service times with a heavy tail, shedding, draining, cold
 * start, and a ledger of what ran. Its behaviour is set by flags and changed by
 * POST /standin?name=value; single requests ask for faults by Test-Behaviour. It speaks
 * the product's own headers, or the platform's ("--form platform").
 */
class Upstream
{
public:
  using Done = std::function<void(http::Response)>;

  Upstream(TimerService& aTimers, const Options& aOptions);

  /** Queues or runs a request; calls back with its answer. */
  void handle(const http::Request& aRequest, Done aDone);

  /** Whether connections send a second, late copy of each answer of the health path. */
  bool copiesHealth() const { return mCopiesHealth; }

  /** What is sent in place of the answer to a request; empty: the answer itself. */
  std::optional<RawAnswer> rawAnswerTo(const http::Request& aRequest) const;

private:
  struct Waiting
  {
    http::Request request;
    Done done;
  };

  struct Report
  {
    int inUse = 0;
    int queued = 0;
    Instant at;
  };

  void change(const http::Request& aRequest);
  static Done echoingRequestId(const http::Request& aRequest, Done aDone);
  void answerHealth(const Done& aDone);
  void runNext();
  void run(const Waiting& aWaiting);
  Duration serviceTime(const http::Request& aRequest);
  http::Response answerTo(const http::Request& aRequest);
  void addSigns(http::Response& aResponse);
  void addPlatformSigns(http::Response& aResponse);
  bool isMeantForAnother(const http::Request& aRequest) const;
  http::Response shed(const http::Request& aRequest);

  TimerService& mTimers;
  std::string mName;
  std::string mInstance;
  Ledger mLedger;
  std::mt19937_64 mRandom;
  int mSlots;
  int mQueueLimit;
  double mServiceMs;
  double mSlowFactor = 1.0;
  int mColdMs;
  Instant mStartedAt;
  bool mIsLeaving = false;
  bool mIsFailing = false;    ///< answers 500 at once
  bool mIsShedding = false;   ///< rejects all requests as if it were full
  bool mIsPlatform = false;   ///< speaks the platform's headers
  bool mHidesLeaving = false; ///< neither its health nor its answers say that it leaves
  std::string mServerLimit;   ///< said with each answer; empty: nothing
  Instant mColdUntil;         ///< its health answers say how long that is still
  std::string mWarmUpText;    ///< said with health answers instead of a time, if any
  std::string mRetryAfter;    ///< said with each rejection; empty: nothing
  bool mHidesLoad = false;    ///< the platform's answers don't tell its load
  std::optional<http::Status> mErrorStatus; ///< of requests that have run; empty: success
  http::Status mHealthStatus = 200;
  int mPendingHealth = 0;
  Duration mHealthTime{ 0 };    ///< until the health path answers
  bool mIsHealthNotRun = false; ///< the health path's answers say so, as when it is full
  bool mHidesHealthLeaving = false; ///< only other answers say that it leaves
  bool mCopiesHealth = false;
  RawAnswer mRawCallAnswer;   ///< in place of all answers to calls, if not empty
  RawAnswer mRawHealthAnswer; ///< in place of the health path's answers, if not empty
  Duration mReportLag{ 0 };   ///< how old the load is that answers tell of
  std::deque<Report> mReports;
  int mInUse = 0;
  std::deque<Waiting> mQueue;
  std::uint64_t mNextTimer = 1;
  std::map<std::uint64_t, TimerHandle> mRunning;
};

} // namespace masticwall::standin
