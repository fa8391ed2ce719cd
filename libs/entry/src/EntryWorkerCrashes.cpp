#include "CallerIdentity.h"
#include "EntryWorker.h"
#include <http/ConnectProbe.h>
#include <telemetry/EventLog.h>

// The part of EntryWorker that detects requests that crash the upstream that runs them. A
// lost connection counts as a crash if the upstream's port no longer accepts connections.
namespace masticwall {

namespace {

constexpr Duration kConnectProbeTimeout = std::chrono::milliseconds(250);

} // namespace

void
EntryWorker::checkForCrash(Call& aCall)
{
  aCall.fingerprint =
    requestDigest(aCall.request, aCall.metadata.host, aCall.tenantName());
  const auto id = aCall.id;
  const auto upstream = *aCall.upstream;
  aCall.upstream.reset();
  const auto onProbeDone =
    [this, id, fingerprint = aCall.fingerprint](bool aIsListening) {
      if (aIsListening) {
        onCrashCheckDone(id);
      } else {
        reportCrash(id, fingerprint);
      }
    };
  http::probeConnect(mTimers,
                     QHostAddress(QString::fromStdString(upstream.host)),
                     upstream.port,
                     kConnectProbeTimeout,
                     onProbeDone);
}

void
EntryWorker::reportCrash(std::uint64_t aCall, const Digest& aFingerprint)
{
  const auto reporter =
    mTables.settings.common.vm + '#' + std::to_string(mTables.incarnation);
  const auto count = mTables.suspects.recordCrash(aFingerprint, reporter, mTimers.now());
  auto& context = mContext;
  // The call ends only after reportSuspect() calls back. Where that waits until the other
  // VMs have the report, a resend through any of them is checked against the new count.
  context.postToMain([&context, count, aCall, worker = mIndex] {
    const auto onReported = [&context, aCall, worker] {
      context.postToWorker(
        worker, [aCall](EntryWorker& aWorker) { aWorker.onCrashCheckDone(aCall); });
    };
    if (context.controlPlane.reportSuspect) {
      context.controlPlane.reportSuspect(count, onReported);
    } else {
      onReported();
    }
  });
}

void
EntryWorker::recordRunToEnd(const Call& aCall)
{
  if (mTables.suspects.isEmpty()) {
    return;
  }
  const auto cleared = mTables.suspects.recordSuccess(
    requestDigest(aCall.request, aCall.metadata.host, aCall.tenantName()), mTimers.now());
  if (cleared.empty()) {
    return;
  }
  logEvent(LogEvent::SuspectCleared, { { "id", aCall.metadata.id } });
  auto& context = mContext;
  context.postToMain([&context, cleared] {
    for (const auto& it : cleared) {
      if (context.controlPlane.reportSuspect) {
        context.controlPlane.reportSuspect(it, [] {});
      }
    }
  });
}

void
EntryWorker::onCrashCheckDone(std::uint64_t aCall)
{
  if (auto* const call = findCall(aCall)) {
    retryOrEnd(*call, CallError::UpstreamFailed);
  }
}

} // namespace masticwall
