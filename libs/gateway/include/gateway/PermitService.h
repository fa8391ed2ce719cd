#pragma once

#include <QByteArray>
#include <decide/PermitFallback.h>
#include <decide/PermitIssuer.h>
#include <decide/UpstreamAddress.h>
#include <decide/Vm.h>
#include <functional>
#include <map>
#include <peer/PeerClients.h>
#include <peer/PeerServer.h>
#include <random>
#include <runtime/TimerService.h>

namespace masticwall {

/**
 * Gets this VM's permits for upstreams with a request limit from the VMs that issue them,
 * and issues permits to the others for those upstreams that are this VM's; see
 * permitIssuersOf(). If the first issuer does not reply the second one is asked, and if
 * that one does not either, the VM uses its own small share. A VM without contact to any
 * other issues only a part of the limit. Main thread.
 */
class PermitService
{
public:
  using Callback = std::function<void(const PermitGrant&)>;

  /** `aLastContact` returns when another VM has been heard of, apart from permits. */
  PermitService(TimerService& aTimers,
                std::string aOwnVm,
                std::function<Instant()> aLastContact);

  /** To be called with each new list of VMs; other roles than masticwall are ignored. */
  void setMembers(const VmList& aVms);

  /** Requests permits for this VM. Calls back once, maybe at once. */
  void request(const UpstreamAddress& aUpstream,
               const PermitRequest& aRequest,
               const Callback& aDone);

  /** Replies to another VM's request; replies nothing if it is invalid. */
  void serve(const QByteArray& aBody, const PeerServer::ReplyCallback& aReply);

private:
  void requestFrom(VmList aIssuers, const PermitRequest& aRequest, const Callback& aDone);
  void onReply(const VmList& aIssuers,
               const PermitRequest& aRequest,
               const Callback& aDone,
               const Result<QByteArray>& aReply);
  PermitGrant issue(const PermitRequest& aRequest);

  /** Whether other VMs are listed, and none has been heard of for a while. */
  bool isWithoutContact() const;

  TimerService& mTimers;
  std::string mOwnVm;
  std::function<Instant()> mLastContact;
  Instant mLastPermitContact; ///< the last request for permits or reply to one
  VmList mMembers;
  PeerClients mClients;
  PermitIssuer mIssuer;
  PermitFallback mFallback;
  std::map<std::string, Instant> mSkippedUntil; ///< VMs that have not replied
  TimerHandle mSweepTimer;
  std::mt19937_64 mRandom{ std::random_device()() };
};

} // namespace masticwall
