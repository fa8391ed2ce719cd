#include "Wait.h"
#include <QElapsedTimer>
#include <QEventLoop>
#include <QTimer>

namespace masticwall::test {

namespace {

constexpr int kPollMs = 5;

} // namespace

bool
waitUntil(const std::function<bool()>& aCondition, int aMostMs)
{
  QElapsedTimer elapsed;
  elapsed.start();
  while (!aCondition()) {
    if (elapsed.elapsed() > aMostMs) {
      return false;
    }
    runEventsFor(kPollMs);
  }
  return true;
}

void
runEventsFor(int aMilliseconds)
{
  QEventLoop loop;
  QTimer::singleShot(aMilliseconds, Qt::PreciseTimer, &loop, &QEventLoop::quit);
  loop.exec();
}

} // namespace masticwall::test
