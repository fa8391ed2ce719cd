#include <algorithm>
#include <decide/PermitRate.h>
#include <gateway/QuotaService.h>
#include <messages/Paths.h>
#include <messages/QuotaGrantsMessage.h>
#include <peer/PeerError.h>
#include <telemetry/EventLog.h>

namespace masticwall {

namespace {

/** Calls wait meanwhile. Between regions a reply takes some 25 ms. */
constexpr Duration kRequestTimeout = std::chrono::milliseconds(150);

/** Of a VM that relays requests; two are below kRequestTimeout, so that it can reply. */
constexpr Duration kRelayTimeout = std::chrono::milliseconds(50);
constexpr Duration kTimerMargin = std::chrono::milliseconds(20);

/** Requests notice a lost connection; PINGs of each VM to each issuer would add up. */
constexpr PeerTimeouts kTimeouts{ .connectTimeout = std::chrono::milliseconds(150),
                                  .pingPeriod = std::chrono::seconds(10),
                                  .receiveTimeout = std::chrono::seconds(30) };

/** While a request to an issuer is in progress, further ones are gathered for so long. */
constexpr Duration kGatherTime = std::chrono::milliseconds(5);

/** VMs poll each other's feeds every half second. */
constexpr Duration kMaxSilence = std::chrono::seconds(2);

constexpr Duration kNextRequestIn = std::chrono::milliseconds(100);
constexpr Duration kRetryAloneIn = std::chrono::seconds(1);
constexpr Duration kSweepPeriod = std::chrono::seconds(30);

/** The quota of a tenant that is gone from the configuration, or has no limit now, while
 * calls that began before still wait. */
const QuotaTerms kDefaultTerms;

} // namespace

QuotaService::QuotaService(TimerService& aTimers,
                           QuotaTable& aTable,
                           const PresetTable& aPresets,
                           Metrics& aMetrics,
                           std::string aOwnVm,
                           std::function<Instant()> aLastContact)
  : mTimers(aTimers)
  , mTable(aTable)
  , mPresets(aPresets)
  , mMetrics(aMetrics)
  , mOwnVm(std::move(aOwnVm))
  , mLastContact(std::move(aLastContact))
  , mRouter(mOwnVm)
  , mClients(aTimers, kTimeouts)
{
  mSweepTimer = mTimers.scheduleEvery(kSweepPeriod, [this] {
    const auto now = mTimers.now();
    mTable.removeUnused(now);
    mIssuer.removeUnused(now);
    mFallback.removeUnused(now);
  });
}

void
QuotaService::setMembers(const VmList& aVms)
{
  const auto before = std::exchange(mMembers, {});
  std::copy_if(aVms.begin(), aVms.end(), std::back_inserter(mMembers), [](const Vm& aVm) {
    return aVm.role == VmRole::Masticwall;
  });
  mRouter.setIssuers(QuotaIssuers(mMembers));
  for (const auto& it : before) {
    const bool isListed =
      std::any_of(mMembers.begin(), mMembers.end(), [&](const Vm& aMember) {
        return aMember.name == it.name;
      });
    if (!isListed) {
      mClients.remove(it.name);
    }
  }
}

void
QuotaService::request(const std::string& aTenant, const Callback& aDone)
{
  updateTerms();
  const auto* const terms = termsOf(aTenant);
  auto request =
    mTable.nextRequest(aTenant, terms == nullptr ? kDefaultTerms : *terms, mTimers.now());
  if (!request.has_value()) {
    return; // another call's request includes it
  }
  if (terms == nullptr) {
    QuotaGrant grant;
    grant.tenant = aTenant;
    grant.permits = request->needed;
    onOwnGrant(grant, aDone);
    return;
  }
  route({ std::move(*request), true, [this, aDone](const QuotaGrant& aGrant) {
           onOwnGrant(aGrant, aDone);
         } });
}

void
QuotaService::onOwnGrant(const QuotaGrant& aGrant, const Callback& aDone)
{
  const auto* const terms = termsOf(aGrant.tenant);
  const auto decisions =
    mTable.add(aGrant, terms == nullptr ? kDefaultTerms : *terms, mTimers.now());
  if (!decisions.granted.empty() || !decisions.refused.empty()) {
    aDone(decisions);
  }
}

void
QuotaService::route(Pending aPending)
{
  const auto& request = aPending.request;
  const auto next = mRouter.routeFor(request.tenant, !aPending.isOwn, mTimers.now());
  switch (next.source) {
    case QuotaSource::Own:
      aPending.done(issue(request));
      return;
    case QuotaSource::Alone:
      aPending.done(grantAlone(request));
      return;
    case QuotaSource::Issuer:
      break;
  }
  auto& queue = mQueues[next];
  queue.pending.push_back(std::move(aPending));
  if (queue.batchesInProgress == 0) {
    send(next);
  } else if (queue.pending.size() == 1) {
    queue.flushTimer = mTimers.scheduleAfter(kGatherTime, [this, next] { send(next); });
  }
}

void
QuotaService::send(const QuotaRoute& aRoute)
{
  auto& queue = mQueues[aRoute];
  queue.flushTimer.cancel();
  if (queue.pending.empty()) {
    return;
  }
  const auto vm = std::find_if(mMembers.begin(), mMembers.end(), [&](const Vm& aVm) {
    return aVm.name == aRoute.issuer;
  });
  if (vm == mMembers.end()) {
    for (auto& it : std::exchange(queue.pending, {})) {
      route(std::move(it)); // it has left
    }
    return;
  }
  const auto id = mNextBatch++;
  auto& batch = mBatches[id];
  batch.route = aRoute;
  batch.pending = std::exchange(queue.pending, {});
  ++queue.batchesInProgress;
  QuotaRequests message;
  message.isRelayed = aRoute.isRelayed;
  for (const auto& it : batch.pending) {
    message.requests.push_back(it.request);
  }
  mMetrics.count(Counter::QuotaMessages, "sent");
  const auto timeout = aRoute.isRelayed ? kRelayTimeout : kRequestTimeout;
  batch.timer = mTimers.scheduleAfter(timeout + kTimerMargin, [this, id] {
    onReply(id, make_error_code(PeerError::Timeout));
  });
  mClients.clientFor(vm->name, vm->host, vm->controlPort)
    .request(paths::kQuotas,
             encode(message),
             timeout,
             [this, id](const Result<QByteArray>& aReply) { onReply(id, aReply); });
}

void
QuotaService::onReply(std::uint64_t aBatch, const Result<QByteArray>& aReply)
{
  auto node = mBatches.extract(aBatch);
  if (node.empty()) {
    return; // too late
  }
  auto& batch = node.mapped();
  auto& queue = mQueues[batch.route];
  --queue.batchesInProgress;
  auto grants = aReply.has_value() ? decodeQuotaGrants(aReply.value())
                                   : Result<std::vector<QuotaGrant>>(aReply.error());
  if (grants.has_error()) {
    onLost(batch, grants.error());
  } else {
    mLastQuotaContact = mTimers.now();
    mRouter.recordReply(batch.route);
    for (auto& pending : batch.pending) {
      const auto& tenant = pending.request.tenant;
      const auto grant =
        std::find_if(grants.value().begin(),
                     grants.value().end(),
                     [&](const QuotaGrant& aGrant) { return aGrant.tenant == tenant; });
      const bool isKnown = grant != grants.value().end() && grant->isKnown;
      if (isKnown || !pending.isOwn) {
        QuotaGrant unknown;
        unknown.tenant = tenant;
        unknown.isKnown = false;
        pending.done(isKnown ? *grant : unknown);
      } else {
        pending.done(grantAlone(pending.request));
      }
      if (grant != grants.value().end()) {
        grants.value().erase(grant); // one for each request
      }
    }
  }
  send(batch.route);
}

void
QuotaService::onLost(const Batch& aBatch, const std::error_code& aError)
{
  logEvent(LogEvent::IssuerLost,
           { { "vm", aBatch.route.issuer },
             { "tenant", aBatch.pending.front().request.tenant },
             { "error", aError.message() } });
  mMetrics.count(Counter::QuotaMessages, "lost");
  mRouter.recordLost(aBatch.route, mTimers.now());
  for (auto it : aBatch.pending) {
    it.request.returned = 0; // the lost request may have been served
    route(std::move(it));
  }
}

void
QuotaService::serve(const QByteArray& aBody, const PeerServer::ReplyCallback& aReply)
{
  const auto message = decodeQuotaRequests(aBody);
  if (message.has_error()) {
    logEvent(LogEvent::MessageBad, { { "error", message.error().message() } });
    aReply(std::nullopt);
    return;
  }
  if (!updateTerms()) {
    aReply(std::nullopt);
    return;
  }
  if (isAlone()) {
    mIssuer.clear(); // others may have issued permits until now
  }
  mLastQuotaContact = mTimers.now();
  mMetrics.count(Counter::QuotaMessages, "served");
  const auto& requests = message.value().requests;
  const auto grants = std::make_shared<std::vector<QuotaGrant>>();
  const auto done = [grants, aReply, n = requests.size()](const QuotaGrant& aGrant) {
    grants->push_back(aGrant);
    if (grants->size() == n) {
      aReply(encode(*grants));
    }
  };
  if (requests.empty()) {
    aReply(encode(*grants));
  }
  for (const auto& it : requests) {
    if (message.value().isRelayed) {
      done(issue(it));
    } else {
      route({ it, false, done });
    }
  }
}

QuotaGrant
QuotaService::issue(const QuotaRequest& aRequest)
{
  updateTerms();
  if (const auto* const terms = termsOf(aRequest.tenant)) {
    return mIssuer.issue(aRequest, *terms, isAlone(), mTimers.now());
  }
  QuotaGrant grant;
  grant.tenant = aRequest.tenant;
  grant.isKnown = isKnown(aRequest.tenant);
  grant.permits = grant.isKnown ? aRequest.needed + aRequest.ahead : 0;
  return grant;
}

QuotaGrant
QuotaService::grantAlone(const QuotaRequest& aRequest)
{
  mMetrics.count(Counter::QuotaMessages, "alone");
  const auto* const terms = termsOf(aRequest.tenant);
  PermitRequest request;
  request.upstream = aRequest.tenant;
  request.perSecond =
    (terms == nullptr ? 0.0 : terms->perSecondAlone) / kPartWithoutContact;
  const auto share =
    mFallback.grant(request, static_cast<int>(mMembers.size()), mTimers.now(), mRandom);
  QuotaGrant grant;
  grant.tenant = aRequest.tenant;
  grant.permits = share.permits;
  if (grant.permits < aRequest.needed) {
    grant.nextIn = kNextRequestIn;
    grant.retryAfter = kRetryAloneIn;
  }
  return grant;
}

bool
QuotaService::updateTerms()
{
  auto preset = mPresets.current();
  if (preset == mPreset) {
    return preset != nullptr;
  }
  mPreset = std::move(preset);
  mTerms.clear();
  for (const auto& it : mPreset->listedTenants()) {
    if (!hasValidQuota(it)) {
      logEvent(LogEvent::QuotaBad,
               { { "tenant", it.name },
                 { "per_second", std::to_string(it.perSecond) },
                 { "burst", std::to_string(it.burst) } });
    }
    mTerms[it.name] = QuotaTerms::of(it, mPreset->quota);
  }
  return true;
}

const QuotaTerms*
QuotaService::termsOf(const std::string& aTenant)
{
  const auto it = mTerms.find(aTenant);
  return it == mTerms.end() || !it->second.has_value() ? nullptr : &*it->second;
}

bool
QuotaService::isKnown(const std::string& aTenant)
{
  return mTerms.count(aTenant) > 0;
}

bool
QuotaService::isAlone() const
{
  const bool hasOthers = std::any_of(
    mMembers.begin(), mMembers.end(), [&](const Vm& aVm) { return aVm.name != mOwnVm; });
  const auto lastContact = std::max(mLastQuotaContact, mLastContact());
  return hasOthers && mTimers.now() - lastContact > kMaxSilence;
}

} // namespace masticwall
