#include "EntryWorker.h"
#include "MembershipUpdate.h"
#include "ProcessGauges.h"
#include "StateDump.h"
#include "WorkerContext.h"
#include <entry/EntryProcess.h>
#include <random>
#include <runtime/WorkerThread.h>
#include <telemetry/EventLog.h>
#include <telemetry/OperatorServer.h>

namespace masticwall {

namespace {

constexpr Duration kDrainCheckPeriod = std::chrono::milliseconds(50);
constexpr Duration kOrderExpiryPeriod = std::chrono::seconds(5);

/** After the notice period, connections that are idle for this long are closed. */
constexpr Duration kMaxIdleWhileDraining = std::chrono::milliseconds(500);
constexpr int kExitCodeDrainTimeout = 3;

/** For the responses to calls that are left at the end of the drain. */
constexpr Duration kLastResponsesTime = std::chrono::milliseconds(100);

std::uint64_t
makeIncarnation()
{
  std::random_device device;
  const auto value = (std::uint64_t{ device() } << 31U) ^ device();
  return value >> 1U; // fits the signed 64-bit integers of the message codec
}

} // namespace

struct EntryProcess::Impl
{
  Impl(TimerService& aTimers,
       const EntrySettings& aSettings,
       const DialectTable& aDialect,
       ExitCallback aOnExit)
    : timers(aTimers)
    , tables(aSettings, makeIncarnation())
    , context{ tables, aDialect, mainThreadObject, {}, {} }
    , onExit(std::move(aOnExit))
  {
    context.postToWorker = [this](std::uint32_t aWorker,
                                  std::function<void(EntryWorker&)> aTask) {
      threads[aWorker]->post([this, aWorker, task = std::move(aTask)] {
        // The worker may be destroyed already during shutdown.
        if (workers[aWorker] != nullptr) {
          task(*workers[aWorker]);
        }
      });
    };
  }

  ~Impl()
  {
    for (std::size_t i = 0; i < threads.size(); ++i) {
      threads[i]->run([this, i] { workers[i].reset(); });
      threads[i]->stop();
    }
  }

  Result<void> start();
  Result<void> startWorkers();
  Result<void> startOperatorServer();
  void onTablesChanged();
  void requestStop();
  void startDrain();
  void stopAccepting();
  void checkDrained();

  /** The drain has taken too long: tells the remaining callers, and ends. */
  void endRemainingCalls();
  void end(int aExitCode);
  void postToEachWorker(const std::function<void(EntryWorker&)>& aTask);

  TimerService& timers;
  QObject mainThreadObject;
  EntryTables tables;
  WorkerContext context;
  std::unique_ptr<OperatorServer> operatorServer;
  std::vector<std::unique_ptr<WorkerThread>> threads;
  std::vector<std::unique_ptr<EntryWorker>> workers;
  ExitCallback onExit;
  TimerHandle orderExpiryTimer;
  TimerHandle noticeTimer;
  TimerHandle drainTimer;
  TimerHandle longestDrainTimer;
  bool isAccepting = true;
  bool isStopRequested = false; ///< requestStop() was called
};

Result<void>
EntryProcess::Impl::start()
{
  BOOST_OUTCOME_TRYV(startWorkers());
  BOOST_OUTCOME_TRYV(startOperatorServer());
  orderExpiryTimer = timers.scheduleEvery(kOrderExpiryPeriod, [this] {
    const std::chrono::milliseconds window(tables.settings.common.orderWindowMs);
    tables.orders.removeSettled(timers.now() - window);
  });
  const auto& settings = tables.settings;
  logEvent(LogEvent::Started,
           { { "vm", settings.common.vm },
             { "host", settings.common.host },
             { "port", settings.port },
             { "workers", settings.workers } });
  return success();
}

Result<void>
EntryProcess::Impl::startWorkers()
{
  const auto n = static_cast<std::size_t>(tables.settings.workers);
  workers.resize(n);
  for (std::size_t i = 0; i < n; ++i) {
    threads.push_back(std::make_unique<WorkerThread>(QStringLiteral("worker-%1").arg(i)));
  }
  std::error_code ec;
  for (std::size_t i = 0; i < n; ++i) {
    threads[i]->run([this, i, &ec] {
      auto worker = EntryWorker::create(context, static_cast<std::uint32_t>(i));
      if (worker.has_error()) {
        ec = worker.error();
        return;
      }
      workers[i] = std::move(worker.value());
    });
  }
  if (ec) {
    return ec;
  }
  return success();
}

Result<void>
EntryProcess::Impl::startOperatorServer()
{
  OperatorHandlers handlers;
  handlers.state = [this] {
    return dumpState(
      tables, context.controlPlane.isConnected && context.controlPlane.isConnected());
  };
  handlers.metrics = [this] {
    setGauges(tables, context.controlPlane);
    return tables.metrics.toText();
  };
  handlers.isReady = [this] {
    return !tables.isLeaving && tables.presets.current() != nullptr;
  };
  handlers.isLeaving = [this] { return tables.isLeaving.load(); };
  handlers.drain = [this] { startDrain(); };
  const auto& settings = tables.settings;
  BOOST_OUTCOME_TRY(
    server,
    OperatorServer::listen(QHostAddress(QString::fromStdString(settings.common.host)),
                           settings.operatorPort,
                           std::move(handlers)));
  operatorServer = std::move(server);
  return success();
}

void
EntryProcess::Impl::onTablesChanged()
{
  applyMembership(tables, timers.now());
  postToEachWorker([](EntryWorker& aWorker) { aWorker.onPresetChanged(); });
  if (!tables.membership.evacuated().empty()) {
    postToEachWorker([](EntryWorker& aWorker) { aWorker.onEvacuated(); });
  }
  if (isListedAsLeaving(tables)) {
    startDrain();
  }
}

void
EntryProcess::Impl::requestStop()
{
  // Only a second request ends the notice period: the VM list may already have started
  // the drain before this process receives its own SIGTERM.
  if (std::exchange(isStopRequested, true)) {
    stopAccepting();
    return;
  }
  startDrain();
}

void
EntryProcess::Impl::startDrain()
{
  if (tables.isLeaving) {
    return;
  }
  tables.drainStartedAt = timers.now().time_since_epoch().count();
  tables.isLeaving = true;
  const auto& settings = tables.settings;
  logEvent(LogEvent::StopRequested,
           { { "notice_ms", toMilliseconds(settings.noticePeriod) } });
  if (context.controlPlane.reportLeaving) {
    context.controlPlane.reportLeaving(settings.common.vm, settings.common.instance);
  }
  postToEachWorker([](EntryWorker& aWorker) { aWorker.beginDrain(); });
  noticeTimer = timers.scheduleAfter(settings.noticePeriod, [this] { stopAccepting(); });
  longestDrainTimer =
    timers.scheduleAfter(settings.maxDrainTime, [this] { endRemainingCalls(); });
}

void
EntryProcess::Impl::stopAccepting()
{
  if (!isAccepting) {
    return;
  }
  isAccepting = false;
  noticeTimer.cancel();
  for (std::size_t i = 0; i < threads.size(); ++i) {
    threads[i]->run([this, i] { workers[i]->stopAccepting(); });
  }
  drainTimer = timers.scheduleEvery(kDrainCheckPeriod, [this] { checkDrained(); });
}

void
EntryProcess::Impl::checkDrained()
{
  bool isDrained = true;
  for (std::size_t i = 0; i < threads.size(); ++i) {
    threads[i]->run([this, i, &isDrained] {
      workers[i]->closeIdle(kMaxIdleWhileDraining);
      isDrained = isDrained && workers[i]->isDrained();
    });
  }
  if (isDrained) {
    logEvent(LogEvent::Drained);
    end(0);
  }
}

void
EntryProcess::Impl::endRemainingCalls()
{
  drainTimer.cancel();
  postToEachWorker([](EntryWorker& aWorker) { aWorker.endAllCalls(); });
  longestDrainTimer =
    timers.scheduleAfter(kLastResponsesTime, [this] { end(kExitCodeDrainTimeout); });
}

void
EntryProcess::Impl::end(int aExitCode)
{
  drainTimer.cancel();
  longestDrainTimer.cancel();
  logEvent(LogEvent::Stopped, { { "exit_code", aExitCode } });
  if (onExit != nullptr) {
    std::exchange(onExit, nullptr)(aExitCode);
  }
}

void
EntryProcess::Impl::postToEachWorker(const std::function<void(EntryWorker&)>& aTask)
{
  for (std::uint32_t i = 0; i < threads.size(); ++i) {
    context.postToWorker(i, aTask);
  }
}

Result<std::unique_ptr<EntryProcess>>
EntryProcess::create(TimerService& aTimers,
                     const EntrySettings& aSettings,
                     const DialectTable& aDialect,
                     ExitCallback aOnExit)
{
  auto impl = std::make_unique<Impl>(aTimers, aSettings, aDialect, std::move(aOnExit));
  BOOST_OUTCOME_TRYV(impl->start());
  return std::unique_ptr<EntryProcess>(new EntryProcess(std::move(impl)));
}

EntryProcess::EntryProcess(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

EntryProcess::~EntryProcess() = default;

EntryTables&
EntryProcess::tables()
{
  return mImpl->tables;
}

void
EntryProcess::setControlPlane(ControlPlane aControlPlane)
{
  mImpl->context.controlPlane = std::move(aControlPlane);
}

void
EntryProcess::onTablesChanged()
{
  mImpl->onTablesChanged();
}

void
EntryProcess::requestStop()
{
  mImpl->requestStop();
}

} // namespace masticwall
