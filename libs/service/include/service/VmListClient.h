#pragma once

#include <QByteArray>
#include <QUrl>
#include <core/Result.h>
#include <core/Time.h>
#include <functional>
#include <memory>

namespace masticwall {

/**
 * Fetches the platform's VM list. Not thread-safe; its thread must run a Qt event loop,
 * which also calls the callbacks.
 */
class VmListClient
{
public:
  using Callback = std::function<void(Result<QByteArray>)>;

  /** `aBase`: scheme, host and port of the VM list service; its path is replaced. */
  explicit VmListClient(const QUrl& aBase);
  ~VmListClient();

  /**
   * Calls back with the list's JSON text or a ServiceError: NotModified if the list has
   * not changed since the last fetch.
   */
  void fetch(Duration aTimeout, Callback aCallback);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace masticwall
