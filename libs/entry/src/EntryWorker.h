#pragma once

#include "Arrival.h"
#include "Call.h"
#include "LoadQueryId.h"
#include "ReportSource.h"
#include "WorkerContext.h"
#include <core/CallError.h>
#include <decide/HedgeBudget.h>
#include <decide/HedgeDelay.h>
#include <decide/HedgeRequest.h>
#include <decide/KeyCheck.h>
#include <decide/PresetInquiry.h>
#include <decide/RetryAfterRange.h>
#include <decide/RetryBudget.h>
#include <decide/TrafficSplit.h>
#include <http/HttpListener.h>
#include <http/UpstreamConnectionPool.h>
#include <map>
#include <optional>
#include <random>
#include <runtime/TimerService.h>
#include <unordered_map>

namespace masticwall {

/**
 * One worker of an entry process: owns a listener, connections to upstreams and the calls
 * that it accepted. Created, used and destroyed on the worker's thread.
 */
class EntryWorker
{
public:
  /** Starts listening. Fails with the system error if the port can't be bound. */
  static Result<std::unique_ptr<EntryWorker>> create(WorkerContext& aContext,
                                                     std::uint32_t aIndex);
  ~EntryWorker();

  /** Refuses the waiting calls that no upstream can get, as data centres are evacuated.
   */
  void onEvacuated();

  /** Admission gave a slot to a waiting call of `aService`. */
  void onSlotGranted(std::uint64_t aCall, const std::string& aService);

  /** Admission dropped a waiting call, in favour of another or after too long a wait. */
  void onDisplaced(std::uint64_t aCall);

  /** The verdict on a call's claim. */
  void onClaimVerdict(std::uint64_t aCall, const ClaimVerdict& aVerdict);

  /** The report on an order that another entry process has claimed. */
  void onOrderReport(std::uint64_t aCall, const Result<OrderReport>& aReport);

  /** Another call has settled the order that this call waits for. */
  void onOrderSettled(std::uint64_t aCall, const OrderView& aView);

  /** The reply to a request for permits, for calls of `aRank`; they are in the table. */
  void onPermits(const UpstreamAddress& aUpstream, const PermitGrant& aGrant, Rank aRank);

  /** The reply to a request for permits of a tenant's quota, for a call that waited. */
  void onQuotaDecided(std::uint64_t aCall, const std::string& aTenant, bool aIsGranted);

  /** The active preset or the VM list has changed. */
  void onPresetChanged();

  /** From now on a caller's connection is closed after its next response. */
  void beginDrain();
  void stopAccepting();

  /** Closes callers' connections that have been idle for at least `aIdleFor`. */
  void closeIdle(Duration aIdleFor);

  /** Ends all calls: as not run, or with an unknown outcome if they were sent. */
  void endAllCalls();

  /** True if no calls and no callers' connections are left. */
  bool isDrained() const;

private:
  EntryWorker(WorkerContext& aContext, std::uint32_t aIndex);

  /** Whether the call may be sent to an upstream, as far as a drain is concerned. */
  bool isInTimeForDrain(const Call& aCall) const;

  // Arrival
  void onRequest(http::Request aRequest, http::ResponderPtr aResponder);

  /** Makes a call of the request, or refuses it, by the preset in force now. */
  void accept(Arrival aArrival);

  /** Refuses a request for which there is no preset or no route. */
  void refuseUnrouted(const CallMetadata& aMetadata,
                      const http::ResponderPtr& aResponder,
                      CallError aError);

  /** The response to a request that could not be received. */
  http::Response encodeHttpError(const std::error_code& aError);
  void respondToHealthCheck(const http::ResponderPtr& aResponder) const;
  void startCall(Call& aCall);

  /** Returns true if this call has to run the order, false if the call was ended or waits
   * for another one. */
  bool registerOrder(Call& aCall);
  void requestAdmission(Call& aCall);
  void requestClaim(Call& aCall);

  // Quotas of tenants
  /** Takes a permit for the call if its tenant has a quota, and then goes on with its
   * admission; or waits for a permit, or ends the call. */
  void startQuota(Call& aCall);

  /** Whether the call may be sent, as far as its quota is concerned. Otherwise waits for
   * a permit again, as the call's own has expired while it waited. */
  bool hasValidQuota(Call& aCall);

  /** True if the call has a permit; otherwise waits for one, or ends the call. */
  bool drawQuota(Call& aCall);
  void requestQuota(const std::string& aTenant);
  void endAsOverQuota(Call& aCall);

  /** The call has ended, or runs elsewhere: gives back its permit if it was not run. */
  void returnQuota(Call& aCall);

  // Callers' keys
  /** Refuses a call for the key that it carries, or lacks. */
  void refuseKey(const KeyCheck& aCheck, const Route& aRoute, const Arrival& aArrival);

  /** Keeps a request with an unknown key until another VM was asked for a newer preset;
   * false if it must be refused now. */
  bool awaitNewerPreset(Arrival& aArrival);
  void askForNewerPreset();
  void onPresetInquiryEnd(std::uint64_t aInquiry);

  // Load queries
  /** Queries the load of the upstreams that the call may be sent to, and requests a
   * permit where it needs one; sends it if there is nothing to wait for. */
  void queryLoads(Call& aCall);

  /** The upstreams whose load should be queried now, within the budget. */
  std::vector<UpstreamAddress> loadQueryTargets(const Call& aCall,
                                                const UpstreamQuery& aQuery);
  void queryLoad(const Call& aCall, const UpstreamAddress& aUpstream, std::string aPath);
  void onLoadReply(const LoadQueryId& aQuery,
                   const UpstreamAddress& aUpstream,
                   const http::ExchangeResult& aResult,
                   Instant aSentAt);
  /** A load query or request for a permit of the call has ended. */
  void onQueryDone(const LoadQueryId& aQuery);
  void finishLoadQueries(std::uint64_t aCall);

  // Sending
  void sendIfReady(Call& aCall);
  UpstreamQuery upstreamQueryFor(const Call& aCall) const;
  void send(Call& aCall);
  /** `aAttempt`: its index in Call::history. */
  http::Exchange makeExchange(const Call& aCall,
                              const UpstreamAddress& aUpstream,
                              bool aHasPermit,
                              std::size_t aAttempt);
  void onExchangeDone(std::uint64_t aCall,
                      std::size_t aAttempt,
                      const http::ExchangeResult& aResult);
  static void logUpstreamFailure(const UpstreamAddress& aUpstream,
                                 const std::string& aCallId,
                                 const http::ExchangeResult& aResult);

  /** Logs responses that came on the exchange's connection but belong to no request.
   * `aCallId` is "-" for a load query. */
  static void logDiscardedResponses(const UpstreamAddress& aUpstream,
                                    const std::string& aCallId,
                                    const http::ExchangeResult& aResult);
  void onUpstreamResponse(Call& aCall, const http::Response& aResponse);
  void onExchangeFailed(Call& aCall, const http::ExchangeResult& aResult);
  void onUpstreamShed(Call& aCall);

  /** Whether the call may be sent again; if so, takes a retry from the budget. */
  bool tryTakeRetry(const Call& aCall);
  void retryOrEnd(Call& aCall, CallError aError);

  /** The upstream stopped accepting requests before the call was written: chooses again,
   * as if the attempt had not been made. */
  void chooseAgain(Call& aCall);

  // Reports of upstreams about themselves
  void applyReport(const UpstreamAddress& aUpstream,
                   const UpstreamReport& aReport,
                   ReportSource aSource,
                   Instant aSentAt);
  void recordLimit(const UpstreamAddress& aUpstream,
                   const UpstreamReport& aReport,
                   ReportSource aSource,
                   Instant aSentAt);
  void recordWarmUp(const UpstreamAddress& aUpstream,
                    const UpstreamReport& aReport,
                    ReportSource aSource);
  void markUpstreamLeaving(const UpstreamAddress& aUpstream, ReportSource aSource);
  void holdOffUpstream(const UpstreamAddress& aUpstream,
                       Duration aDuration,
                       ReportSource aSource);

  // Availability
  /** Sets the regions in which the call may run. */
  void restrictRegions(Call& aCall);

  /** Whether an upstream that the call may use takes it now. */
  ServiceAvailability availabilityFor(const Call& aCall) const;

  /** Refuses the waiting calls that no upstream can get, after `aUpstream` has ceased to
   * accept requests. */
  void refuseWaitingIfUnavailable(const UpstreamAddress& aUpstream);

  /** The same for all upstreams of a service. */
  void refuseWaitingIfUnavailable(const std::string& aService);

  /** The same for this worker's calls that may run in some regions only; of all services
   * if `aService` is empty. */
  void refuseRestricted(const std::string& aService);
  void onUnavailable(std::uint64_t aCall);

  /** Ends a call that no upstream can run now. */
  void endAsUnavailable(Call& aCall);

  /** Until the first upstream may accept the call again; 0 if any accepts it now, or none
   * ever will. */
  Duration timeUntilAvailable(const Call& aCall) const;

  // Permits of upstreams with a request limit
  /** A request for permits is lost if the reply takes longer: the VM that was asked may
   * have been taken off the list meanwhile. */
  static constexpr Duration kMaxPermitWait = std::chrono::milliseconds(600);

  /** Requests a permit for the call, or waits for the request that is in progress. */
  void requestPermit(const Call& aCall, const PermitCandidate& aCandidate);

  // Upstream crashes
  /** After a lost connection: reports a crash if the upstream's port is closed. */
  void checkForCrash(Call& aCall);
  void reportCrash(std::uint64_t aCall, const Digest& aFingerprint);

  /** An upstream has run the call to its end: if it is a suspect, it is one no more. */
  void recordRunToEnd(const Call& aCall);

  /** Retries or ends the call, whether the upstream has crashed or not. */
  void onCrashCheckDone(std::uint64_t aCall);

  /** Records the current attempt's outcome and excludes its upstream from retries. */
  void endAttempt(Call& aCall, AttemptOutcome aOutcome);

  // Hedges
  /** Sets the time at which the call that was just sent gets a hedge. */
  void scheduleHedge(Call& aCall);
  void onHedgeDue(std::uint64_t aCall);
  HedgeVerdict tryHedge(Call& aCall);

  /** Chooses an upstream with a slot free, in another data centre if there is one. */
  Result<UpstreamChoice> chooseForHedge(const Call& aCall);
  void sendHedge(Call& aCall, const UpstreamChoice& aChoice);

  /** One of two requests in progress has ended. Returns false if it is now the call's
   * only one, with a usable response; true if the other one goes on. */
  bool onHedgedExchangeDone(Call& aCall,
                            std::size_t aAttempt,
                            const http::ExchangeResult& aResult);

  /** Whether the response can be the call's; errors give way to the other request. */
  bool isUsable(const http::ExchangeResult& aResult) const;

  /** Exchanges the roles of the two requests in progress. */
  static void swapHedge(Call& aCall);
  void endFailedHedge(Call& aCall, const http::ExchangeResult& aResult);

  /** Cancels the second request, if one is in progress. */
  void cancelHedge(Call& aCall);
  void endHedge(Call& aCall, AttemptOutcome aOutcome);

  /** Records how long the first request of the call took, or has taken so far. */
  void recordHedgeDelay(const Call& aCall);

  // Ending
  void onDeadline(std::uint64_t aCall);
  void onCallerGone(std::uint64_t aCall);

  /** Requests the order's report from the process that holds the claim. */
  void awaitOrderReport(Call& aCall, const ClaimId& aClaimHolder);
  void endWithError(Call& aCall, CallError aError);
  void endWithResponse(Call& aCall, const http::Response& aResponse);
  void endWithOrderView(Call& aCall, const OrderView& aView);

  /** Responds to the caller if it is still connected; logs and counts the call. */
  void respond(Call& aCall,
               Outcome aOutcome,
               std::string_view aReason,
               http::Response aResponse);

  /** Records an order's outcome, notifies its waiters and releases an unused claim. */
  void settleOrder(Call& aCall,
                   OrderState aState,
                   std::shared_ptr<const http::Response> aResponse);

  /** Releases the call's slot, or takes the call out of the admission queue. */
  void releaseAdmission(Call& aCall);

  /** Releases a slot of `aService` and notifies the calls that start or expire. */
  void releaseSlot(const std::string& aService);
  void eraseCall(std::uint64_t aCall);

  /** When a refused call's caller may come back. */
  Duration retryAfterFor(const Call& aCall);
  void updateGauges();
  Call* findCall(std::uint64_t aCall);

  WorkerContext& mContext;
  EntryTables& mTables;
  std::uint32_t mIndex;
  TimerService mTimers;
  http::UpstreamConnectionPool mUpstreamConnections;
  std::unique_ptr<http::HttpListener> mListener;
  std::unordered_map<std::uint64_t, std::unique_ptr<Call>> mCalls;
  std::size_t mRestrictedCalls = 0; ///< those of `mCalls` that are barred from a region
  std::uint64_t mNextSequence = 1;
  std::optional<TokenBucket> mLoadQueryBudget; ///< set with the first preset
  RetryBudget mRetryBudget;

  /** The calls that wait for permits of one upstream instance. */
  struct PermitWait
  {
    std::vector<LoadQueryId> waiting; ///< empty: no request is in progress
    Instant requestedAt;              ///< a request is lost if it takes too long
    int wanted = 1;                   ///< permits, for the next request
  };
  std::map<std::pair<std::string, std::string>, PermitWait>
    mPermitWaits; ///< by upstream name and instance
  PresetInquiry mPresetInquiry;
  std::map<std::uint64_t, Arrival> mWaitingArrivals; ///< for the inquiry in progress
  std::uint64_t mNextArrival = 1;
  std::uint64_t mInquiry = 0; ///< number of the inquiry in progress
  TimerHandle mInquiryTimer;
  TrafficSplit mTrafficSplit;
  std::mt19937_64 mRandom;
  HedgeBudget mHedgeBudget;
  std::unordered_map<std::string, HedgeDelay> mHedgeDelays; ///< by route
  TimerHandle mGaugeTimer;
};

} // namespace masticwall
