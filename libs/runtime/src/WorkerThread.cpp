#include <runtime/WorkerThread.h>

namespace masticwall {

WorkerThread::WorkerThread(const QString& aName)
  : mContext(std::make_unique<QObject>())
{
  mThread.setObjectName(aName);
  mContext->moveToThread(&mThread);
  mThread.start();
}

WorkerThread::~WorkerThread()
{
  stop();
}

void
WorkerThread::post(std::function<void()> aTask)
{
  QMetaObject::invokeMethod(mContext.get(), std::move(aTask), Qt::QueuedConnection);
}

void
WorkerThread::run(const std::function<void()>& aTask)
{
  QMetaObject::invokeMethod(mContext.get(), aTask, Qt::BlockingQueuedConnection);
}

void
WorkerThread::stop()
{
  if (mThread.isRunning()) {
    mThread.quit();
    mThread.wait();
  }
}

} // namespace masticwall
