#pragma once

#include "Call.h"
#include "EntryHub.h"
#include <core/CallError.h>
#include <decide/RetryBudget.h>
#include <decide/TrafficSplit.h>
#include <http/BackPool.h>
#include <http/FrontListener.h>
#include <optional>
#include <random>
#include <runtime/TimerService.h>
#include <unordered_map>

namespace masticwall {

/**
 * One worker of an entry process: its listener, its connections to upstreams and its
 * calls. Made, used and destroyed on the worker's thread.
 */
class EntryWorker
{
public:
  static Result<std::unique_ptr<EntryWorker>> create(EntryHub& aHub,
                                                     std::uint32_t aIndex);
  ~EntryWorker();

  /** A waiting call may start: it now holds a slot. */
  void onSlot(std::uint64_t aCall, const std::string& aService);

  /** A waiting call gave its place to another caller's, or has waited too long. */
  void onDisplaced(std::uint64_t aCall);

  void onVerdict(std::uint64_t aCall, const ClaimVerdict& aVerdict);

  /** The claimant's word on an order that this worker's call lost or joined. */
  void onHolderReport(std::uint64_t aCall, const Result<OrderReport>& aReport);
  void onSettled(std::uint64_t aCall, const OrderView& aView);

  /** The preset in force has changed. */
  void onPreset();

  /** Answers end their connections from now on. */
  void beginLeaving();
  void stopAccepting();
  void closeIdle(Duration aIdleFor);
  bool isDrained() const;

private:
  EntryWorker(EntryHub& aHub, std::uint32_t aIndex);

  // Arrival
  void onRequest(http::Request aRequest, http::ResponderPtr aResponder);
  void refuseUnrouted(const CallTerms& aTerms,
                      const http::ResponderPtr& aResponder,
                      CallError aError);
  void answerHealth(const http::ResponderPtr& aResponder) const;
  void begin(Call& aCall);
  bool beginOrder(Call& aCall);
  void beginAdmission(Call& aCall);
  void askClaim(Call& aCall);

  // Asking for loads
  void askLoads(Call& aCall);
  void askLoad(std::uint64_t aCall, const UpstreamAddress& aUpstream, std::string aPath);
  void onLoad(std::uint64_t aCall,
              const UpstreamAddress& aUpstream,
              const http::BackResult& aResult);
  void stopAsking(std::uint64_t aCall);

  // Sending
  void sendIfReady(Call& aCall);
  LatencyLimit limitOf(const Call& aCall) const;
  UpstreamQuery queryOf(const Call& aCall) const;
  void send(Call& aCall);
  http::Exchange makeExchange(const Call& aCall);
  void onExchange(std::uint64_t aCall, const http::BackResult& aResult);
  void onAnswer(Call& aCall, const http::Response& aResponse);
  void noteLeaving(const UpstreamAddress& aUpstream);
  void onFailure(Call& aCall, const http::BackResult& aResult);
  void onShed(Call& aCall);
  bool mayTryAgain(const Call& aCall);
  void retryOrEnd(Call& aCall, CallError aError);
  void checkDeath(Call& aCall);
  void shareDeath(std::uint64_t aCall, const Digest& aFingerprint);
  void onDeathKnown(std::uint64_t aCall);
  void endAttempt(Call& aCall, CallEnd aEnd);

  // Ending
  void onDeadline(std::uint64_t aCall);
  void onCallerGone(std::uint64_t aCall);
  void watchHolder(Call& aCall, const ClaimId& aHolder);
  void endWith(Call& aCall, CallError aError);
  void endWithAnswer(Call& aCall, const http::Response& aAnswer);
  void endWithView(Call& aCall, const OrderView& aView);
  void answer(Call& aCall,
              Outcome aOutcome,
              std::string_view aReason,
              http::Response aResponse);
  void settle(Call& aCall,
              OrderState aState,
              std::shared_ptr<const http::Response> aAnswer);
  void leaveAdmission(Call& aCall);
  void startNext(const std::string& aService);
  void erase(std::uint64_t aCall);
  Duration retryAfter();
  void updateGauges();
  Call* find(std::uint64_t aCall);

  EntryHub& mHub;
  EntryTables& mTables;
  std::uint32_t mIndex;
  TimerService mTimers;
  http::BackPool mBack;
  std::unique_ptr<http::FrontListener> mFront;
  std::unordered_map<std::uint64_t, std::unique_ptr<Call>> mCalls;
  std::uint64_t mNextCall = 1;
  std::optional<TokenBucket> mLoadQueries; ///< from the first preset on
  RetryBudget mRetryBudget;
  TrafficSplit mSplit;
  std::mt19937_64 mRandom;
  TimerSubscription mGaugeTimer;
};

} // namespace masticwall
