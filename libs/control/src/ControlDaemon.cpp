#include "ClaimLog.h"
#include "ConfigFollower.h"
#include "ControlFeed.h"
#include "ControlState.h"
#include "Prober.h"
#include "VmListPoller.h"
#include <QObject>
#include <control/ControlDaemon.h>
#include <feed/FeedServer.h>
#include <feed/PeerMessenger.h>
#include <messages/ClaimIdMessage.h>
#include <messages/ClaimMessage.h>
#include <messages/ClaimVerdictMessage.h>
#include <messages/ConfigStateMessage.h>
#include <messages/LeavingNotice.h>
#include <messages/Paths.h>
#include <runtime/WorkerThread.h>
#include <telemetry/EventLog.h>
#include <telemetry/OperatorServer.h>

namespace masticwall {

namespace {

constexpr Duration kPeerConfigRequestPeriod = std::chrono::seconds(1);

/** A feed request gets a reply after this time even if there is no update. */
constexpr Duration kMaxFeedWait = std::chrono::seconds(1);
constexpr Duration kDrainCheckPeriod = std::chrono::milliseconds(100);

/**
 * The entry process counts as ended after this time without a feed request; while it
 * runs, it sends at least one a second.
 */
constexpr Duration kEntryTimeout = std::chrono::seconds(3);

/** From the stop request on; then the process ends even if it is not drained. */
constexpr Duration kMaxDrain = std::chrono::seconds(120);

/** The objects that live on the monitor thread, and their timers. */
struct MonitorObjects
{
  TimerService timers;
  std::unique_ptr<VmListPoller> vmListPoller;
  std::unique_ptr<Prober> prober;
};

} // namespace

struct ControlDaemon::Impl
{
  Impl(const ControlSettings& aSettings, ExitCallback aOnExit)
    : tables(aSettings)
    , feedProvider(tables)
    , feedServer(timers, feedProvider, kMaxFeedWait)
    , peers(timers, tables.membership, tables.settings.common.vm)
    , onExit(std::move(aOnExit))
  {
  }

  ~Impl()
  {
    configThread.run([this] { configFollower.reset(); });
    claimThread.run([this] { claimLog.reset(); });
    monitorThread.run([this] { monitorObjects.reset(); });
    configThread.stop();
    claimThread.stop();
    monitorThread.stop();
  }

  Result<void> start();
  Result<void> listen();
  void startWorkers();
  /**
   * Handles a request to the control port. Sends a 404 for an unknown path, and for a
   * malformed body except that of a leaving notice, which is ignored.
   */
  void serve(const std::string& aPath,
             const QByteArray& aBody,
             const PeerServer::ReplyCallback& aReply);
  void serveClaim(const QByteArray& aBody, const PeerServer::ReplyCallback& aReply);
  void serveRelease(const QByteArray& aBody, const PeerServer::ReplyCallback& aReply);
  void serveConfigState(const QByteArray& aBody, const PeerServer::ReplyCallback& aReply);
  void onLeavingNotice(const QByteArray& aBody, bool aNotifyPeers);
  /**
   * Handles the report of a request that may have crashed an upstream: passes one from
   * this VM's entry process on to the other VMs, and one from another VM to this VM's
   * entry process. Replies once they have received it (or all VMs that didn't have
   * failed); at once if the report is known already.
   */
  void onSuspect(const QByteArray& aBody, const PeerServer::ReplyCallback& aReply);
  /** Marks a VM's instance as leaving; notifies the other VMs if `aNotifyPeers`. */
  void markLeaving(const std::string& aVm,
                   const std::string& aInstance,
                   bool aNotifyPeers = true);
  /**
   * Requests the configuration of a random peer, unless the configuration stream of the
   * log was read to its head and its last read succeeded.
   */
  void requestPeerConfig();
  void postToMain(std::function<void()> aTask);
  void requestStop();
  /** Ends the process if its entry process has ended and no claim is unsettled. */
  void checkDrained();
  void end(int aExitCode);

  TimerService timers;
  QObject mainContext; ///< lives on the main thread; runs the tasks of postToMain
  ControlTables tables;
  ControlFeed feedProvider;
  FeedServer<ControlFeed> feedServer;
  PeerMessenger peers;
  std::unique_ptr<PeerServer> peerServer;
  std::unique_ptr<OperatorServer> operatorServer;
  WorkerThread configThread{ QStringLiteral("config") };
  WorkerThread claimThread{ QStringLiteral("claims") };
  WorkerThread monitorThread{ QStringLiteral("measure") };
  std::unique_ptr<ConfigFollower> configFollower; ///< used on configThread only
  std::unique_ptr<ClaimLog> claimLog;             ///< used on claimThread only
  std::unique_ptr<MonitorObjects> monitorObjects; ///< used on monitorThread only
  ExitCallback onExit;
  TimerHandle peerConfigTimer;
  TimerHandle drainTimer;
  TimerHandle maxDrainTimer;
};

Result<void>
ControlDaemon::Impl::start()
{
  BOOST_OUTCOME_TRYV(listen());
  startWorkers();
  peerConfigTimer =
    timers.scheduleEvery(kPeerConfigRequestPeriod, [this] { requestPeerConfig(); });
  const auto& settings = tables.settings;
  logEvent(LogEvent::Started,
           { { "vm", settings.common.vm },
             { "host", settings.common.host },
             { "port", settings.port } });
  return success();
}

Result<void>
ControlDaemon::Impl::listen()
{
  const auto& settings = tables.settings;
  const QHostAddress host(QString::fromStdString(settings.common.host));
  BOOST_OUTCOME_TRY(newPeerServer,
                    PeerServer::listen(timers,
                                       host,
                                       settings.port,
                                       [this](const std::string& aPath,
                                              const QByteArray& aBody,
                                              const PeerServer::ReplyCallback& aReply) {
                                         serve(aPath, aBody, aReply);
                                       }));
  peerServer = std::move(newPeerServer);
  OperatorHandlers handlers;
  handlers.state = [this] { return dumpState(tables); };
  handlers.metrics = [this] { return dumpMetrics(tables); };
  handlers.isLeaving = [this] { return tables.isLeaving.load(); };
  handlers.drain = [this] {
    if (!tables.isLeaving) {
      requestStop();
    }
  };
  BOOST_OUTCOME_TRY(
    newOperatorServer,
    OperatorServer::listen(host, settings.operatorPort, std::move(handlers)));
  operatorServer = std::move(newOperatorServer);
  return success();
}

void
ControlDaemon::Impl::startWorkers()
{
  const auto onChange = [this] { postToMain([this] { feedServer.onChange(); }); };
  configThread.run([this, onChange] {
    configFollower = std::make_unique<ConfigFollower>(tables, onChange);
  });
  claimThread.run([this] { claimLog = std::make_unique<ClaimLog>(tables); });
  monitorThread.run([this, onChange] {
    monitorObjects = std::make_unique<MonitorObjects>();
    monitorObjects->vmListPoller =
      std::make_unique<VmListPoller>(monitorObjects->timers, tables, onChange);
    monitorObjects->prober =
      std::make_unique<Prober>(monitorObjects->timers, tables, [this](const Vm& aVm) {
        postToMain([this, aVm] { markLeaving(aVm.name, aVm.instance); });
      });
  });
}

void
ControlDaemon::Impl::serve(const std::string& aPath,
                           const QByteArray& aBody,
                           const PeerServer::ReplyCallback& aReply)
{
  if (aPath == paths::kFeed) {
    const auto have = decodeFeedRequest(aBody);
    if (have.has_value()) {
      feedServer.serve(have.value(), aReply);
      return;
    }
  } else if (aPath == paths::kClaim) {
    serveClaim(aBody, aReply);
    return;
  } else if (aPath == paths::kRelease) {
    serveRelease(aBody, aReply);
    return;
  } else if (aPath == paths::kConfigState) {
    serveConfigState(aBody, aReply);
    return;
  } else if (aPath == paths::kLeaving) {
    onLeavingNotice(aBody, true);
    aReply(QByteArray());
    return;
  } else if (aPath == paths::kPeerLeaving) {
    onLeavingNotice(aBody, false);
    aReply(QByteArray());
    return;
  } else if (aPath == paths::kSuspect) {
    onSuspect(aBody, aReply);
    return;
  }
  aReply(std::nullopt);
}

void
ControlDaemon::Impl::serveClaim(const QByteArray& aBody,
                                const PeerServer::ReplyCallback& aReply)
{
  const auto claim = decodeClaim(aBody);
  if (claim.has_error()) {
    aReply(std::nullopt);
    return;
  }
  claimThread.post([this, claim = claim.value(), aReply] {
    claimLog->claim(claim, [this, aReply](const ClaimVerdict& aVerdict) {
      postToMain([aVerdict, aReply] { aReply(encode(aVerdict)); });
    });
  });
}

void
ControlDaemon::Impl::serveRelease(const QByteArray& aBody,
                                  const PeerServer::ReplyCallback& aReply)
{
  const auto id = decodeClaimId(aBody);
  if (id.has_error()) {
    aReply(std::nullopt);
    return;
  }
  claimThread.post([this, id = id.value()] { claimLog->release(id); });
  aReply(QByteArray());
}

void
ControlDaemon::Impl::serveConfigState(const QByteArray& aBody,
                                      const PeerServer::ReplyCallback& aReply)
{
  const auto have = decodeFeedRequest(aBody);
  if (have.has_error()) {
    aReply(std::nullopt);
    return;
  }
  const bool isNewer = tables.config.version() > have.value().version;
  aReply(isNewer ? encode(tables.config.state()) : QByteArray());
}

void
ControlDaemon::Impl::onLeavingNotice(const QByteArray& aBody, bool aNotifyPeers)
{
  const auto notice = decodeLeavingNotice(aBody);
  if (notice.has_value()) {
    markLeaving(notice.value().vm, notice.value().instance, aNotifyPeers);
  }
}

void
ControlDaemon::Impl::markLeaving(const std::string& aVm,
                                 const std::string& aInstance,
                                 bool aNotifyPeers)
{
  if (!tables.membership.markLeaving(aVm, aInstance)) {
    return;
  }
  logEvent(LogEvent::VmLeaving, { { "vm", aVm }, { "instance", aInstance } });
  feedServer.onChange();
  // A notice from a peer is not forwarded, because the peer sends it to all VMs itself.
  if (aNotifyPeers) {
    peers.sendToAll(paths::kPeerLeaving, encode(LeavingNotice{ aVm, aInstance }));
  }
}

void
ControlDaemon::Impl::onSuspect(const QByteArray& aBody,
                               const PeerServer::ReplyCallback& aReply)
{
  const auto suspect = decodeSuspect(aBody);
  if (suspect.has_error()) {
    aReply(std::nullopt);
    return;
  }
  const auto& report = suspect.value();
  if (!tables.suspects.merge(report, timers.now())) {
    aReply(QByteArray());
    return;
  }
  const auto reply = [aReply] { aReply(QByteArray()); };
  if (report.reporter.starts_with(tables.settings.common.vm + '#')) {
    // From this VM's entry process: reply once all other VMs have replied or failed.
    peers.sendToAll(paths::kSuspect, aBody, reply);
  } else {
    feedServer.addSuspect(report, reply);
  }
}

void
ControlDaemon::Impl::requestPeerConfig()
{
  if (tables.isConfigRead && tables.isLogReachable) {
    return;
  }
  const FeedRequest have{ tables.config.version(), 0 };
  peers.requestFromRandomPeer(
    paths::kConfigState, encode(have), [this](const QByteArray& aReply) {
      const auto state = decodeConfigState(aReply);
      if (state.has_value()) {
        configThread.post(
          [this, state = state.value()] { configFollower->merge(state); });
      }
    });
}

void
ControlDaemon::Impl::postToMain(std::function<void()> aTask)
{
  QMetaObject::invokeMethod(&mainContext, std::move(aTask), Qt::QueuedConnection);
}

void
ControlDaemon::Impl::requestStop()
{
  if (tables.isLeaving.exchange(true)) {
    end(0);
    return;
  }
  logEvent(LogEvent::StopRequested);
  const auto& common = tables.settings.common;
  markLeaving(common.vm, common.instance);
  drainTimer = timers.scheduleEvery(kDrainCheckPeriod, [this] { checkDrained(); });
  maxDrainTimer = timers.scheduleAfter(kMaxDrain, [this] { end(0); });
}

void
ControlDaemon::Impl::checkDrained()
{
  const bool hasEntryTimedOut = timers.now() - feedServer.lastRequestAt() > kEntryTimeout;
  if (hasEntryTimedOut && tables.unsettledClaims == 0) {
    logEvent(LogEvent::Drained);
    end(0);
  }
}

void
ControlDaemon::Impl::end(int aExitCode)
{
  drainTimer.cancel();
  maxDrainTimer.cancel();
  if (onExit != nullptr) {
    logEvent(LogEvent::Stopped, { { "exit_code", aExitCode } });
    std::exchange(onExit, nullptr)(aExitCode);
  }
}

Result<std::unique_ptr<ControlDaemon>>
ControlDaemon::create(const ControlSettings& aSettings, ExitCallback aOnExit)
{
  auto impl = std::make_unique<Impl>(aSettings, std::move(aOnExit));
  BOOST_OUTCOME_TRYV(impl->start());
  return std::unique_ptr<ControlDaemon>(new ControlDaemon(std::move(impl)));
}

ControlDaemon::ControlDaemon(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

ControlDaemon::~ControlDaemon() = default;

void
ControlDaemon::requestStop()
{
  mImpl->requestStop();
}

} // namespace masticwall
