#pragma once

#include <QObject>
#include <entry/ControlPlane.h>
#include <entry/Dialect.h>
#include <entry/EntryTables.h>
#include <functional>

namespace masticwall {

class EntryWorker;

/**
 * What an entry process shares with its workers: the tables, the dialect, and the means
 * to post tasks to other workers and to the main thread. The post functions are
 * thread-safe and do not block.
 */
struct WorkerContext
{
  EntryTables& tables;
  DialectTable dialect;
  QObject& mainThreadObject; ///< receives tasks for the main thread; lives there
  ControlPlane controlPlane; ///< main thread only; set before the first preset

  /** Runs a task on a worker's thread; the task is dropped if the worker is destroyed. */
  std::function<void(std::uint32_t aWorker, std::function<void(EntryWorker&)>)>
    postToWorker;

  void postToMain(std::function<void()> aTask)
  {
    QMetaObject::invokeMethod(&mainThreadObject, std::move(aTask), Qt::QueuedConnection);
  }
};

} // namespace masticwall
