#pragma once

#include <QObject>
#include <entry/Backplane.h>
#include <entry/Dialect.h>
#include <entry/EntryTables.h>
#include <functional>

namespace masticwall {

class EntryWorker;

/**
 * What workers know of the rest of the process: the tables, the other workers, and the
 * links that live on the main thread. The post functions are thread-safe and do not
 * wait.
 */
struct EntryHub
{
  EntryTables& tables;
  DialectTable dialect;
  QObject& mainContext; ///< lives on the main thread
  Backplane backplane;  ///< set on the main thread before the first preset, used there
  std::function<void(std::uint32_t aWorker, std::function<void(EntryWorker&)>)>
    postToWorker;

  void postToMain(std::function<void()> aTask)
  {
    QMetaObject::invokeMethod(&mainContext, std::move(aTask), Qt::QueuedConnection);
  }
};

} // namespace masticwall
