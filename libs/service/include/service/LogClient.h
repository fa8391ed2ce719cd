#pragma once

#include <QByteArray>
#include <QUrl>
#include <core/Result.h>
#include <core/Time.h>
#include <functional>
#include <memory>
#include <service/LogPage.h>
#include <string>

namespace masticwall {

/**
 * The platform's log service. Every append must carry an id of its own, since one whose
 * answer is lost may have taken effect, and the library below may send it twice. Lives
 * on one thread, which must run a Qt event loop.
 */
class LogClient
{
public:
  using Appended = std::function<void(Result<std::uint64_t>)>;
  using Page = std::function<void(Result<LogPage>)>;

  explicit LogClient(const QUrl& aBase);
  ~LogClient();

  /** Appends a record; calls back with its offset or a ServiceError. */
  void append(const std::string& aStream,
              const QByteArray& aData,
              Duration aTimeout,
              Appended aDone);

  /**
   * Reads records from `aFrom` on; waits up to `aWait` for the first at the log's side.
   * Calls back with a page or a ServiceError.
   */
  void read(const std::string& aStream,
            std::uint64_t aFrom,
            Duration aWait,
            Duration aTimeout,
            Page aDone);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace masticwall
