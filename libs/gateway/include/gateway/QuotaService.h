#pragma once

#include <decide/PermitFallback.h>
#include <decide/QuotaIssuer.h>
#include <decide/QuotaRouter.h>
#include <decide/Vm.h>
#include <functional>
#include <map>
#include <messages/QuotaRequestsMessage.h>
#include <peer/PeerClients.h>
#include <peer/PeerServer.h>
#include <random>
#include <runtime/TimerService.h>
#include <tables/PresetTable.h>
#include <tables/QuotaTable.h>
#include <telemetry/Metrics.h>
#include <unordered_map>

namespace masticwall {

/**
 * Gets this VM's permits for calls of tenants with a quota from the VMs that issue them,
 * and issues permits to the others for the tenants that are this VM's; see
 * QuotaRouter. What is needed of one issuer is requested together. If an issuer does
 * not reply the next one is asked, and without any the VM uses its own small share. Main
 * thread.
 */
class QuotaService
{
public:
  using Callback = std::function<void(const QuotaDecisions&)>;

  /** `aLastContact` returns when another VM has been heard of, apart from quotas. */
  QuotaService(TimerService& aTimers,
               QuotaTable& aTable,
               const PresetTable& aPresets,
               Metrics& aMetrics,
               std::string aOwnVm,
               std::function<Instant()> aLastContact);

  /** To be called with each new list of VMs; other roles than masticwall are ignored. */
  void setMembers(const VmList& aVms);

  /** Requests what the tenant's calls in this VM need. Calls back when some of them need
   * not wait any more, maybe at once, or not at all. */
  void request(const std::string& aTenant, const Callback& aDone);

  /** Replies to another VM's requests; replies nothing if they are invalid, or while this
   * VM has no configuration. */
  void serve(const QByteArray& aBody, const PeerServer::ReplyCallback& aReply);

private:
  struct Pending
  {
    QuotaRequest request;
    bool isOwn = true; ///< false: another VM's, which this one relays
    std::function<void(const QuotaGrant&)> done;
  };

  /** Requests that wait to be sent to one issuer. */
  struct Queue
  {
    std::vector<Pending> pending;
    int batchesInProgress = 0;
    TimerHandle flushTimer;
  };

  struct Batch
  {
    QuotaRoute route;
    std::vector<Pending> pending;
    TimerHandle timer; ///< the client that was asked may be gone
  };

  /** Issues the permits, or asks the first VM that issues them and is not skipped. */
  void route(Pending aPending);
  void send(const QuotaRoute& aRoute);
  void onReply(std::uint64_t aBatch, const Result<QByteArray>& aReply);
  void onLost(const Batch& aBatch, const std::error_code& aError);
  QuotaGrant issue(const QuotaRequest& aRequest);
  QuotaGrant grantAlone(const QuotaRequest& aRequest);
  void onOwnGrant(const QuotaGrant& aGrant, const Callback& aDone);

  /** The terms of this VM's configuration; null: unknown tenant, or no limit. */
  const QuotaTerms* termsOf(const std::string& aTenant);
  bool isKnown(const std::string& aTenant);

  /** Reads the tenants of a new configuration; false while there is none. */
  bool updateTerms();

  /** Whether other VMs are listed, and none has been heard of for a while. */
  bool isAlone() const;

  TimerService& mTimers;
  QuotaTable& mTable;
  const PresetTable& mPresets;
  Metrics& mMetrics;
  std::string mOwnVm;
  std::function<Instant()> mLastContact;
  Instant mLastQuotaContact; ///< the last request for permits or reply to one
  VmList mMembers;
  QuotaRouter mRouter;
  std::shared_ptr<const Preset> mPreset; ///< that mTerms belongs to
  std::unordered_map<std::string, std::optional<QuotaTerms>> mTerms; ///< by tenant
  PeerClients mClients;
  QuotaIssuer mIssuer;
  PermitFallback mFallback;
  std::map<QuotaRoute, Queue> mQueues;
  std::map<std::uint64_t, Batch> mBatches;
  std::uint64_t mNextBatch = 1;
  TimerHandle mSweepTimer;
  std::mt19937_64 mRandom{ std::random_device()() };
};

} // namespace masticwall
