#pragma once

#include <entry/EntryProcess.h>
#include <feed/PeerMessenger.h>
#include <filesystem>
#include <gateway/ConfigSync.h>
#include <gateway/PermitService.h>
#include <gateway/Platform.h>
#include <gateway/QuotaService.h>

namespace masticwall {

/**
 * How often the modification time of the settings file is checked, as the file may be
 * replaced without a reload signal to the process.
 */
inline constexpr Duration kSettingsCheckPeriod = std::chrono::seconds(1);

/**
 * The gateway: all of masticwall on one VM in a single process. It has an EntryProcess
 * and a ConfigSync that keeps the tables of the entry up to date. Created and used on the
 * main thread, which must run a Qt event loop.
 */
template<Platform P>
class GatewayDaemon
{
public:
  using ExitCallback = std::function<void(int)>;

  /**
   * Starts to listen. `aOnExit` is called once when the process may exit, with its exit
   * code. Fails with the system's error if a port can't be listened on.
   */
  static Result<std::unique_ptr<GatewayDaemon>> create(const GatewaySettings& aSettings,
                                                       const ExitCallback& aOnExit)
  {
    auto daemon = std::unique_ptr<GatewayDaemon>(new GatewayDaemon(aSettings));
    BOOST_OUTCOME_TRYV(daemon->start(aOnExit));
    return daemon;
  }

  /** Starts a graceful shutdown, at whose end `aOnExit` is called; see EntryProcess. */
  void requestStop() { mProcess->requestStop(); }

  /**
   * Reads the settings file again and applies the retry and probe budgets; other settings
   * need a restart. Logs an error and changes nothing if the file is invalid.
   */
  void reload();

private:
  explicit GatewayDaemon(const GatewaySettings& aSettings)
    : mSettings(aSettings)
    , mSource(mTimers, aSettings)
  {
  }

  Result<void> start(const ExitCallback& aOnExit);
  ControlPlane makeControlPlane();

  /** Handles a request of another VM; replies nothing if it is invalid. */
  void onPeerRequest(const std::string& aPath,
                     const QByteArray& aBody,
                     const PeerServer::ReplyCallback& aReply);
  void checkSettings();
  void onSuspect(const QByteArray& aBody, const PeerServer::ReplyCallback& aReply);
  Vm ownVm() const;

  GatewaySettings mSettings;
  TimerService mTimers;
  typename P::ConfigSource mSource;
  std::unique_ptr<EntryProcess> mProcess;
  std::unique_ptr<PeerMessenger> mPeerMessenger;
  std::unique_ptr<PermitService> mPermitService;
  std::unique_ptr<QuotaService> mQuotaService;
  std::unique_ptr<ConfigSync<typename P::ConfigSource>> mConfigSync;
  std::unique_ptr<PeerServer> mServer;
  std::filesystem::file_time_type mSettingsChangedAt; ///< modification time of the file
  TimerHandle mSettingsTimer;
};

template<Platform P>
Result<void>
GatewayDaemon<P>::start(const ExitCallback& aOnExit)
{
  BOOST_OUTCOME_TRY(
    process,
    EntryProcess::create(
      mTimers, mSettings.entry, makeDialectTable<typename P::Dialect>(), aOnExit));
  mProcess = std::move(process);
  auto& tables = mProcess->tables();
  mPeerMessenger = std::make_unique<PeerMessenger>(
    mTimers, tables.membership, mSettings.entry.common.vm);
  mPermitService = std::make_unique<PermitService>(
    mTimers, mSettings.entry.common.vm, [this] { return mConfigSync->lastContactAt(); });
  mQuotaService =
    std::make_unique<QuotaService>(mTimers,
                                   tables.quotas,
                                   tables.presets,
                                   tables.metrics,
                                   mSettings.entry.common.vm,
                                   [this] { return mConfigSync->lastContactAt(); });
  mConfigSync = std::make_unique<ConfigSync<typename P::ConfigSource>>(
    mTimers, tables, mSource, ownVm(), [this, &tables] {
      mPermitService->setMembers(tables.membership.current());
      mQuotaService->setMembers(tables.membership.current());
      mProcess->onTablesChanged();
    });
  mProcess->setControlPlane(makeControlPlane());
  BOOST_OUTCOME_TRY(
    server,
    PeerServer::listen(mTimers,
                       QHostAddress(QString::fromStdString(mSettings.entry.common.host)),
                       mSettings.peerPort,
                       [this](const std::string& aPath,
                              const QByteArray& aBody,
                              const PeerServer::ReplyCallback& aReply) {
                         onPeerRequest(aPath, aBody, aReply);
                       }));
  mServer = std::move(server);
  mConfigSync->start(mSettings.seeds);
  std::error_code ec;
  mSettingsChangedAt = std::filesystem::last_write_time(mSettings.path, ec);
  mSettingsTimer =
    mTimers.scheduleEvery(kSettingsCheckPeriod, [this] { checkSettings(); });
  return success();
}

template<Platform P>
Vm
GatewayDaemon<P>::ownVm() const
{
  const auto& entry = mSettings.entry;
  Vm vm;
  vm.name = entry.common.vm;
  vm.role = VmRole::Masticwall;
  vm.region = entry.common.region;
  vm.dataCentre = entry.common.dataCentre;
  vm.host = entry.common.host;
  vm.port = entry.port;
  vm.controlPort = mSettings.peerPort;
  vm.operatorPort = entry.operatorPort;
  vm.capacity = mSettings.capacity;
  return vm;
}

template<Platform P>
ControlPlane
GatewayDaemon<P>::makeControlPlane()
{
  ControlPlane controlPlane;
  controlPlane.reportSuspect = [this](const SuspectCount& aSuspect,
                                      const std::function<void()>& aDone) {
    // Does not wait for replies: VMs that may be down must not delay the caller's
    // response.
    mPeerMessenger->sendToAll(paths::kSuspect, encode(aSuspect));
    aDone();
  };
  controlPlane.requestPermits = [this](const UpstreamAddress& aUpstream,
                                       const PermitRequest& aRequest,
                                       const ControlPlane::PermitCallback& aDone) {
    mPermitService->request(aUpstream, aRequest, aDone);
  };
  controlPlane.requestQuota = [this](const std::string& aTenant,
                                     const ControlPlane::QuotaCallback& aDone) {
    mQuotaService->request(aTenant, aDone);
  };
  controlPlane.catchUp = [this](const std::function<void()>& aDone) {
    mConfigSync->catchUp(aDone);
  };
  // The source counts as reachable while the data is fresh, whichever VM reads it.
  controlPlane.isConnected = [this] { return mConfigSync->isFresh(); };
  controlPlane.sourceAge = [this] { return mConfigSync->age(); };
  return controlPlane;
}

template<Platform P>
void
GatewayDaemon<P>::onPeerRequest(const std::string& aPath,
                                const QByteArray& aBody,
                                const PeerServer::ReplyCallback& aReply)
{
  if (aPath == paths::kFeed) {
    const auto have = decodeFeedRequest(aBody);
    if (have.has_value()) {
      mConfigSync->serve(have.value(), aReply);
      return;
    }
  }
  if (aPath == paths::kSuspect) {
    onSuspect(aBody, aReply);
    return;
  }
  if (aPath == paths::kPermits) {
    mPermitService->serve(aBody, aReply);
    return;
  }
  if (aPath == paths::kQuotas) {
    mQuotaService->serve(aBody, aReply);
    return;
  }
  logEvent(LogEvent::MessageBad, { { "path", aPath } });
  aReply(std::nullopt);
}

template<Platform P>
void
GatewayDaemon<P>::onSuspect(const QByteArray& aBody,
                            const PeerServer::ReplyCallback& aReply)
{
  const auto suspect = decodeSuspect(aBody);
  if (suspect.has_error()) {
    logEvent(LogEvent::MessageBad, { { "error", suspect.error().message() } });
    aReply(std::nullopt);
    return;
  }
  mProcess->tables().suspects.merge(suspect.value(), mTimers.now());
  aReply(QByteArray());
}

template<Platform P>
void
GatewayDaemon<P>::reload()
{
  const auto settings = P::readSettings(mSettings.path);
  if (settings.has_error()) {
    logEvent(LogEvent::SettingsWrong, { { "error", settings.error().message() } });
    return;
  }
  mSource.setBudgets(settings.value());
  mConfigSync->onBudgetsChanged();
  logEvent(LogEvent::Reloaded);
}

template<Platform P>
void
GatewayDaemon<P>::checkSettings()
{
  std::error_code ec;
  const auto changedAt = std::filesystem::last_write_time(mSettings.path, ec);
  // A file that is being replaced may be missing for a moment: keep the settings.
  if (!ec && changedAt != std::exchange(mSettingsChangedAt, changedAt)) {
    reload();
  }
}

} // namespace masticwall
