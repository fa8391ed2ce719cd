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
 * Client of the platform's log service. Not thread-safe; its thread must run a Qt event
 * loop, which also calls the callbacks.
 *
 * Each appended record must contain a unique id, so that readers can detect duplicates:
 * an append may take effect although its response is lost, and may be sent twice.
 */
class LogClient
{
public:
  using AppendCallback = std::function<void(Result<std::uint64_t>)>;
  using ReadCallback = std::function<void(Result<LogPage>)>;

  /** `aBase`: scheme, host and port of the log service; its path is replaced. */
  explicit LogClient(const QUrl& aBase);
  ~LogClient();

  /**
   * Appends a record; calls back with its offset or a ServiceError. Fails if it takes
   * longer than `aTimeout`; see ServiceHttp.
   */
  void append(const std::string& aStream,
              const QByteArray& aData,
              Duration aTimeout,
              AppendCallback aCallback);

  /**
   * Reads records from offset `aFrom` on; if there is none yet, the log service waits up
   * to `aWait` for one (long poll). Calls back with a page or a ServiceError. Fails if it
   * takes longer than `aTimeout`, which must be longer than `aWait`; see ServiceHttp.
   */
  void read(const std::string& aStream,
            std::uint64_t aFrom,
            Duration aWait,
            Duration aTimeout,
            ReadCallback aCallback);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace masticwall
