#include "AdminServer.h"
#include "Options.h"
#include "ProxyLink.h"
#include <QCoreApplication>
#include <QTcpServer>
#include <list>

using namespace masticwall;

namespace {

/**
 * A proxy that injects faults: --target-host, --target-port; its own admin port takes
 * POST /standin?name=value.
 */
class Proxy
{
public:
  Proxy(TimerService& aTimers, const standin::Options& aOptions)
    : mTimers(aTimers)
    , mHost(aOptions.text(QStringLiteral("target-host")))
    , mPort(static_cast<quint16>(aOptions.number(QStringLiteral("target-port"), 0)))
  {
    mFaults.delay =
      std::chrono::milliseconds(aOptions.number(QStringLiteral("delay-ms"), 0));
    mFaults.bytesPerSecond = aOptions.number(QStringLiteral("bytes-per-second"), 0);
    QObject::connect(
      &mServer, &QTcpServer::newConnection, &mServer, [this] { accept(); });
  }

  bool listen(const QHostAddress& aHost, quint16 aPort)
  {
    return mServer.listen(aHost, aPort);
  }

  void change(const http::Request& aRequest)
  {
    const auto query = standin::queryOf(aRequest);
    for (const auto& [name, value] : query.queryItems()) {
      if (name == QLatin1String("freeze")) {
        for (const auto& it : mLinks) {
          it->freeze();
        }
      } else if (name == QLatin1String("delay_ms")) {
        mFaults.delay = std::chrono::milliseconds(value.toInt());
      } else if (name == QLatin1String("cut_after_request")) {
        mFaults.cutAfterRequest = value.toLongLong();
      } else if (name == QLatin1String("cut_after_answer")) {
        mFaults.cutAfterAnswer = value.toLongLong();
      } else if (name == QLatin1String("refuse")) {
        mFaults.refuses = value.toInt() != 0;
      }
    }
  }

private:
  void accept()
  {
    while (auto* const socket = mServer.nextPendingConnection()) {
      socket->setParent(nullptr);
      if (mFaults.refuses) {
        socket->abort();
        socket->deleteLater();
        continue;
      }
      auto link =
        std::make_shared<standin::ProxyLink>(mTimers, mFaults, socket, mHost, mPort);
      mLinks.push_back(link);
      const std::weak_ptr<standin::ProxyLink> weak = link;
      link->start([this, weak] {
        // Later, because the link's own socket is calling.
        QMetaObject::invokeMethod(
          &mServer, [this, weak] { mLinks.remove(weak.lock()); }, Qt::QueuedConnection);
      });
    }
  }

  TimerService& mTimers;
  standin::ProxyFaults mFaults;
  QHostAddress mHost;
  quint16 mPort;
  QTcpServer mServer;
  std::list<std::shared_ptr<standin::ProxyLink>> mLinks;
};

} // namespace

int
main(int aArgc, char** aArgv)
{
  QCoreApplication app(aArgc, aArgv);
  const standin::Options options(QCoreApplication::arguments());
  TimerService timers;
  Proxy proxy(timers, options);
  if (!proxy.listen(options.host(), options.port())) {
    return 1;
  }
  const auto admin = standin::listenOrExit(
    timers,
    options.host(),
    static_cast<quint16>(options.number(QStringLiteral("admin-port"), 9001)),
    [&](const http::Request& aRequest, const http::ResponderPtr& aResponder) {
      proxy.change(aRequest);
      aResponder->respond(standin::okResponse({}));
    });
  return QCoreApplication::exec();
}
