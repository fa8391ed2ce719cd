#include "EntryHub.h"
#include "EntryWorker.h"
#include "FeedIntake.h"
#include "StateDump.h"
#include <entry/EntryDaemon.h>
#include <random>
#include <runtime/WorkerThread.h>
#include <telemetry/EventLog.h>
#include <telemetry/OperatorServer.h>

namespace masticwall {

namespace {

constexpr Duration kDrainCheckPeriod = std::chrono::milliseconds(50);
constexpr Duration kForgetPeriod = std::chrono::seconds(5);

/** After the notice period, a connection without a request for so long is closed. */
constexpr Duration kIdleBeforeClose = std::chrono::milliseconds(500);
constexpr int kExitCutOff = 3;

std::uint64_t
makeIncarnation()
{
  std::random_device device;
  const auto value = (std::uint64_t{ device() } << 31U) ^ device();
  return value >> 1U; // fits the signed integers of the messages' codec
}

} // namespace

struct EntryDaemon::Impl
{
  Impl(const EntrySettings& aSettings, Ended aEnded)
    : tables(aSettings, makeIncarnation())
    , hub{ tables, context, nullptr, nullptr, {} }
    , control(timers, tables.settings)
    , feed(tables)
    , ended(std::move(aEnded))
  {
    hub.control = &control;
    hub.postToWorker = [this](std::uint32_t aWorker,
                              std::function<void(EntryWorker&)> aTask) {
      threads[aWorker]->post([this, aWorker, task = std::move(aTask)] {
        // Gone already if the process is about to end.
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
  Result<void> startOperators();
  void onFeed(const Feed& aFeed);
  void requestStop();
  void stopAccepting();
  void checkDrained();
  void end(int aExitCode);
  void onEachWorker(const std::function<void(EntryWorker&)>& aTask);

  TimerService timers;
  QObject context;
  EntryTables tables;
  EntryHub hub;
  ControlLink control;
  FeedIntake feed;
  std::unique_ptr<PeerOrders> peers;
  std::unique_ptr<OperatorServer> operators;
  std::vector<std::unique_ptr<WorkerThread>> threads;
  std::vector<std::unique_ptr<EntryWorker>> workers;
  Ended ended;
  TimerSubscription forgetTimer;
  TimerSubscription noticeTimer;
  TimerSubscription drainTimer;
  TimerSubscription longestDrainTimer;
  bool isAccepting = true;
};

Result<void>
EntryDaemon::Impl::start()
{
  BOOST_OUTCOME_TRY(orders, PeerOrders::create(timers, tables));
  peers = std::move(orders);
  hub.peers = peers.get();
  BOOST_OUTCOME_TRYV(startWorkers());
  BOOST_OUTCOME_TRYV(startOperators());
  control.start([this](const Feed& aFeed) { onFeed(aFeed); });
  forgetTimer = timers.subscribeEvery(kForgetPeriod, [this] {
    const std::chrono::milliseconds window(tables.settings.common.orderWindowMs);
    tables.orders.forget(timers.now() - window);
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
EntryDaemon::Impl::startWorkers()
{
  const auto n = static_cast<std::size_t>(tables.settings.workers);
  workers.resize(n);
  for (std::size_t i = 0; i < n; ++i) {
    threads.push_back(std::make_unique<WorkerThread>(QStringLiteral("worker-%1").arg(i)));
  }
  std::error_code ec;
  for (std::size_t i = 0; i < n; ++i) {
    threads[i]->run([this, i, &ec] {
      auto worker = EntryWorker::create(hub, static_cast<std::uint32_t>(i));
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
EntryDaemon::Impl::startOperators()
{
  OperatorPages pages;
  pages.state = [this] { return dumpState(tables, control.isConnected()); };
  pages.metrics = [this] { return tables.statistics.toMetrics(); };
  pages.isLeaving = [this] { return tables.isLeaving.load(); };
  pages.drain = [this] {
    if (!tables.isLeaving) {
      requestStop();
    }
  };
  const auto& settings = tables.settings;
  BOOST_OUTCOME_TRY(
    server,
    OperatorServer::listen(QHostAddress(QString::fromStdString(settings.common.host)),
                           settings.operatorPort,
                           std::move(pages)));
  operators = std::move(server);
  return success();
}

void
EntryDaemon::Impl::onFeed(const Feed& aFeed)
{
  if (!feed.take(aFeed, timers.now())) {
    return;
  }
  onEachWorker([](EntryWorker& aWorker) { aWorker.onPreset(); });
  if (feed.isListedAsLeaving() && !tables.isLeaving) {
    requestStop();
  }
}

void
EntryDaemon::Impl::requestStop()
{
  if (tables.isLeaving.exchange(true)) {
    stopAccepting();
    return;
  }
  const auto& settings = tables.settings;
  logEvent(LogEvent::StopRequested,
           { { "notice_ms", toMilliseconds(settings.noticePeriod) } });
  control.reportLeaving(settings.common.vm, settings.common.instance);
  onEachWorker([](EntryWorker& aWorker) { aWorker.beginLeaving(); });
  noticeTimer = timers.subscribeIn(settings.noticePeriod, [this] { stopAccepting(); });
  longestDrainTimer =
    timers.subscribeIn(settings.longestDrain, [this] { end(kExitCutOff); });
}

void
EntryDaemon::Impl::stopAccepting()
{
  if (!isAccepting) {
    return;
  }
  isAccepting = false;
  noticeTimer.cancel();
  for (std::size_t i = 0; i < threads.size(); ++i) {
    threads[i]->run([this, i] { workers[i]->stopAccepting(); });
  }
  drainTimer = timers.subscribeEvery(kDrainCheckPeriod, [this] { checkDrained(); });
}

void
EntryDaemon::Impl::checkDrained()
{
  bool isDrained = true;
  for (std::size_t i = 0; i < threads.size(); ++i) {
    threads[i]->run([this, i, &isDrained] {
      workers[i]->closeIdle(kIdleBeforeClose);
      isDrained = isDrained && workers[i]->isDrained();
    });
  }
  if (isDrained) {
    logEvent(LogEvent::Drained);
    end(0);
  }
}

void
EntryDaemon::Impl::end(int aExitCode)
{
  drainTimer.cancel();
  longestDrainTimer.cancel();
  logEvent(LogEvent::Stopped, { { "exit_code", aExitCode } });
  if (ended != nullptr) {
    std::exchange(ended, nullptr)(aExitCode);
  }
}

void
EntryDaemon::Impl::onEachWorker(const std::function<void(EntryWorker&)>& aTask)
{
  for (std::uint32_t i = 0; i < threads.size(); ++i) {
    hub.postToWorker(i, aTask);
  }
}

Result<std::unique_ptr<EntryDaemon>>
EntryDaemon::create(const EntrySettings& aSettings, Ended aEnded)
{
  auto impl = std::make_unique<Impl>(aSettings, std::move(aEnded));
  BOOST_OUTCOME_TRYV(impl->start());
  return std::unique_ptr<EntryDaemon>(new EntryDaemon(std::move(impl)));
}

EntryDaemon::EntryDaemon(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

EntryDaemon::~EntryDaemon() = default;

void
EntryDaemon::requestStop()
{
  mImpl->requestStop();
}

} // namespace masticwall
