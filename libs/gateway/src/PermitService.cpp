#include <algorithm>
#include <decide/PermitIssuers.h>
#include <decide/PermitRate.h>
#include <gateway/PermitService.h>
#include <messages/Paths.h>
#include <messages/PermitGrantMessage.h>
#include <messages/PermitRequestMessage.h>
#include <telemetry/EventLog.h>

namespace masticwall {

namespace {

/** Within a data centre a reply takes a few milliseconds. */
constexpr Duration kRequestTimeout = std::chrono::milliseconds(250);
constexpr PeerTimeouts kTimeouts{ .connectTimeout = std::chrono::milliseconds(250) };

/** An issuer that has not replied is not asked again for this long. Meanwhile the others
 * may still ask it, so that two VMs issue permits for the same upstream. */
constexpr Duration kSkipTime = std::chrono::seconds(1);

/** VMs poll each other's feeds every half second. */
constexpr Duration kMaxSilence = std::chrono::seconds(2);

constexpr Duration kSweepPeriod = std::chrono::seconds(30);

} // namespace

PermitService::PermitService(TimerService& aTimers,
                             std::string aOwnVm,
                             std::function<Instant()> aLastContact)
  : mTimers(aTimers)
  , mOwnVm(std::move(aOwnVm))
  , mLastContact(std::move(aLastContact))
  , mClients(aTimers, kTimeouts)
{
  mSweepTimer = mTimers.scheduleEvery(kSweepPeriod, [this] {
    mIssuer.removeUnused(mTimers.now());
    mFallback.removeUnused(mTimers.now());
  });
}

void
PermitService::setMembers(const VmList& aVms)
{
  const auto before = std::exchange(mMembers, {});
  for (const auto& it : aVms) {
    if (it.role == VmRole::Masticwall) {
      mMembers.push_back(it);
    }
  }
  for (const auto& it : before) {
    const bool isListed =
      std::any_of(mMembers.begin(), mMembers.end(), [&](const Vm& aMember) {
        return aMember.name == it.name;
      });
    if (!isListed) {
      mClients.remove(it.name);
      mSkippedUntil.erase(it.name);
    }
  }
}

void
PermitService::request(const UpstreamAddress& aUpstream,
                       const PermitRequest& aRequest,
                       const Callback& aDone)
{
  if (mMembers.empty()) {
    aDone(issue(aRequest)); // this VM knows of no other
    return;
  }
  requestFrom(permitIssuersOf(aUpstream, mMembers), aRequest, aDone);
}

void
PermitService::requestFrom(VmList aIssuers,
                           const PermitRequest& aRequest,
                           const Callback& aDone)
{
  const auto now = mTimers.now();
  const auto next =
    std::find_if(aIssuers.begin(), aIssuers.end(), [&](const Vm& aIssuer) {
      const auto skipped = mSkippedUntil.find(aIssuer.name);
      return skipped == mSkippedUntil.end() || skipped->second <= now;
    });
  aIssuers.erase(aIssuers.begin(), next);
  if (aIssuers.empty()) {
    const auto vms = static_cast<int>(mMembers.size());
    aDone(mFallback.grant(aRequest, vms, now, mRandom));
    return;
  }
  const auto& issuer = aIssuers.front();
  if (issuer.name == mOwnVm) {
    aDone(issue(aRequest));
    return;
  }
  mClients.clientFor(issuer.name, issuer.host, issuer.controlPort)
    .request(paths::kPermits,
             encode(aRequest),
             kRequestTimeout,
             [this, aIssuers, aRequest, aDone](const Result<QByteArray>& aReply) {
               onReply(aIssuers, aRequest, aDone, aReply);
             });
}

void
PermitService::onReply(const VmList& aIssuers,
                       const PermitRequest& aRequest,
                       const Callback& aDone,
                       const Result<QByteArray>& aReply)
{
  const auto grant = aReply.has_value() ? decodePermitGrant(aReply.value())
                                        : Result<PermitGrant>(aReply.error());
  if (grant.has_value()) {
    mLastPermitContact = mTimers.now();
    aDone(grant.value());
    return;
  }
  const auto& issuer = aIssuers.front().name;
  logEvent(LogEvent::IssuerLost,
           { { "vm", issuer },
             { "upstream", aRequest.upstream },
             { "error", grant.error().message() } });
  mSkippedUntil[issuer] = mTimers.now() + kSkipTime;
  requestFrom({ aIssuers.begin() + 1, aIssuers.end() }, aRequest, aDone);
}

void
PermitService::serve(const QByteArray& aBody, const PeerServer::ReplyCallback& aReply)
{
  const auto request = decodePermitRequest(aBody);
  if (request.has_error()) {
    logEvent(LogEvent::MessageBad, { { "error", request.error().message() } });
    aReply(std::nullopt);
    return;
  }
  mLastPermitContact = mTimers.now();
  aReply(encode(issue(request.value())));
}

bool
PermitService::isWithoutContact() const
{
  const bool hasOthers = std::any_of(
    mMembers.begin(), mMembers.end(), [&](const Vm& aVm) { return aVm.name != mOwnVm; });
  const auto lastContact = std::max(mLastPermitContact, mLastContact());
  return hasOthers && mTimers.now() - lastContact > kMaxSilence;
}

PermitGrant
PermitService::issue(const PermitRequest& aRequest)
{
  const auto part = isWithoutContact() ? kPartWithoutContact : 1.0;
  return mIssuer.issue(aRequest, part, mTimers.now());
}

} // namespace masticwall
