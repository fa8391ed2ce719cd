#pragma once

#include <QByteArray>
#include <QUrl>
#include <core/Result.h>
#include <core/Time.h>
#include <functional>
#include <memory>

namespace masticwall {

/** Fetches the platform's VM list as it was published. Lives on one thread. */
class VmListClient
{
public:
  using Done = std::function<void(Result<QByteArray>)>;

  explicit VmListClient(const QUrl& aBase);
  ~VmListClient();

  /** Calls back with the list's JSON text or a ServiceError; NotModified if it is the
   * list that was fetched last. */
  void fetch(Duration aTimeout, Done aDone);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace masticwall
