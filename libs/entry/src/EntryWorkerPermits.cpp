#include "EntryWorker.h"
#include <algorithm>

// The part of EntryWorker that gets permits for upstreams with a request limit. A worker
// has one request in progress for each upstream instance; calls that come meanwhile wait
// for the same reply, and what it lacks is requested together.
namespace masticwall {

namespace {

/** Without other processes to share a limit with, as far as this one knows. */
constexpr Duration kNextRequestIn = std::chrono::seconds(1);

} // namespace

void
EntryWorker::requestPermit(const Call& aCall, const PermitCandidate& aCandidate)
{
  const auto& upstream = aCandidate.address;
  auto& wait = mPermitWaits[{ upstream.name, upstream.instance }];
  const auto now = mTimers.now();
  wait.waiting.push_back({ aCall.id, aCall.attempts, aCall.loadQueryRounds });
  if (wait.waiting.size() > 1 && now - wait.requestedAt < kMaxPermitWait) {
    return;
  }
  wait.requestedAt = now;
  const PermitRequest request{ upstream.name,
                               // The bound of a warm-up is that of all its instances.
                               aCandidate.isCold ? upstream.name : upstream.instance,
                               aCandidate.limit.perSecond,
                               now - aCandidate.limit.statedAt,
                               aCall.rank(),
                               std::exchange(wait.wanted, 1),
                               !aCandidate.hasAlternative && !aCandidate.isCold };
  auto& context = mContext;
  context.postToMain([&context, upstream, request, worker = mIndex] {
    const auto onGrant =
      [&context, upstream, rank = request.rank, worker](const PermitGrant& aGrant) {
        context.postToWorker(worker, [=](EntryWorker& aWorker) {
          aWorker.onPermits(upstream, aGrant, rank);
        });
      };
    if (context.controlPlane.requestPermits) {
      context.controlPlane.requestPermits(upstream, request, onGrant);
    } else {
      onGrant({ 0, kNextRequestIn });
    }
  });
}

void
EntryWorker::onPermits(const UpstreamAddress& aUpstream,
                       const PermitGrant& aGrant,
                       Rank aRank)
{
  mTables.upstreams.addPermits(aUpstream, aGrant, aRank, mTimers.now());
  const auto it = mPermitWaits.find({ aUpstream.name, aUpstream.instance });
  if (it == mPermitWaits.end()) {
    return;
  }
  const auto waiting = std::exchange(it->second.waiting, {});
  if (aGrant.permits == 0) {
    mTables.metrics.count(Counter::LimitedRequests, "no-permit");
    mPermitWaits.erase(it);
    refuseWaitingIfUnavailable(aUpstream);
  } else {
    it->second.wanted = std::max(1, static_cast<int>(waiting.size()) - aGrant.permits);
  }
  for (const auto& query : waiting) {
    onQueryDone(query);
  }
}

} // namespace masticwall
