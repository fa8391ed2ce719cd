#pragma once

#include "ControlLink.h"
#include "EntryTables.h"
#include "PeerOrders.h"
#include <QObject>
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
  QObject& mainContext; ///< lives on the main thread
  ControlLink* control = nullptr;
  PeerOrders* peers = nullptr;
  std::function<void(std::uint32_t aWorker, std::function<void(EntryWorker&)>)>
    postToWorker;

  void postToMain(std::function<void()> aTask)
  {
    QMetaObject::invokeMethod(&mainContext, std::move(aTask), Qt::QueuedConnection);
  }
};

} // namespace masticwall
