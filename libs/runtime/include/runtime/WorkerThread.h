#pragma once

#include <QObject>
#include <QThread>
#include <functional>
#include <memory>

namespace masticwall {

/** A thread with a Qt event loop that runs what is posted to it. */
class WorkerThread
{
public:
  explicit WorkerThread(const QString& aName);
  ~WorkerThread();
  WorkerThread(const WorkerThread&) = delete;
  WorkerThread& operator=(const WorkerThread&) = delete;

  /** Runs `aTask` on the thread later. Thread-safe; does not wait. */
  void post(std::function<void()> aTask);

  /** Runs `aTask` on the thread and waits for it. Not from the thread itself. */
  void run(const std::function<void()>& aTask);

  /** Ends the event loop and joins the thread. Posted tasks may be dropped. */
  void stop();

private:
  QThread mThread;
  std::unique_ptr<QObject> mContext;
};

} // namespace masticwall
