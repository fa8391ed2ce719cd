#pragma once

#include <QObject>
#include <QThread>
#include <functional>
#include <memory>

namespace masticwall {

/**
 * A thread with a Qt event loop that runs the tasks posted to it, in order. The
 * destructor calls stop(); neither may be called on the thread itself.
 */
class WorkerThread
{
public:
  explicit WorkerThread(const QString& aName);
  ~WorkerThread();
  WorkerThread(const WorkerThread&) = delete;
  WorkerThread& operator=(const WorkerThread&) = delete;

  /** Queues `aTask` to run on the thread and returns at once. Thread-safe. */
  void post(std::function<void()> aTask);

  /**
   * Runs `aTask` on the thread and blocks until it has finished. Thread-safe. Deadlocks
   * if called on the thread itself or after stop().
   */
  void run(const std::function<void()>& aTask);

  /** Ends the event loop and joins the thread. Tasks still queued may not run. */
  void stop();

private:
  QThread mThread;
  std::unique_ptr<QObject> mContext; ///< lives on the thread; receives the tasks
};

} // namespace masticwall
