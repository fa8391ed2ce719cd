#include "CallerIdentity.h"
#include "EntryWorker.h"
#include <http/ConnectProbe.h>

// The part of EntryWorker that looks for requests whose upstream died while it ran them.
namespace masticwall {

namespace {

constexpr Duration kProbeTimeout = std::chrono::milliseconds(250);

} // namespace

void
EntryWorker::checkDeath(Call& aCall)
{
  if (!aCall.isOrder()) {
    aCall.fingerprint = requestDigest(aCall.request);
  }
  const auto id = aCall.id;
  const auto upstream = *aCall.upstream;
  aCall.upstream.reset();
  const auto onProbed = [this, id, fingerprint = aCall.fingerprint](bool aIsListening) {
    if (aIsListening) {
      onDeathKnown(id);
    } else {
      shareDeath(id, fingerprint);
    }
  };
  http::probeConnect(mTimers,
                     QHostAddress(QString::fromStdString(upstream.host)),
                     upstream.port,
                     kProbeTimeout,
                     onProbed);
}

void
EntryWorker::shareDeath(std::uint64_t aCall, const Digest& aFingerprint)
{
  const auto reporter =
    mTables.settings.common.vm + '#' + std::to_string(mTables.incarnation);
  const auto deaths = mTables.suspects.noteDeath(aFingerprint, reporter, mTimers.now());
  auto& hub = mHub;
  // The caller is answered only after the other VMs know, so that a resend through
  // whichever of them meets the count.
  hub.postToMain([&hub, aFingerprint, reporter, deaths, aCall, worker = mIndex] {
    const auto onTold = [&hub, aCall, worker] {
      hub.postToWorker(worker,
                       [aCall](EntryWorker& aWorker) { aWorker.onDeathKnown(aCall); });
    };
    if (hub.backplane.reportSuspect) {
      hub.backplane.reportSuspect({ aFingerprint, reporter, deaths }, onTold);
    } else {
      onTold();
    }
  });
}

void
EntryWorker::onDeathKnown(std::uint64_t aCall)
{
  if (auto* const call = find(aCall)) {
    retryOrEnd(*call, CallError::UpstreamFailed);
  }
}

} // namespace masticwall
