#pragma once

#include "ChildProcess.h"
#include "LedgerFile.h"
#include "TestCaller.h"
#include <QTemporaryDir>
#include <core/Bytes.h>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace masticwall::test {

/**
 * A whole system in the platform's form, of real processes on loopback addresses of its
 * own: the store, upstreams of one service that are listed there, and gateways.
 */
class GatewaySystem
{
public:
  static constexpr quint16 kFrontPort = 8381;
  static constexpr quint16 kStorePort = 8384;

  GatewaySystem(int aGateways, int aUpstreams);

  /** Starts all, writes a configuration, and waits until every gateway is ready. */
  bool start();

  void startGateway(int aIndex);
  void startUpstream(int aIndex);

  /** From now on writes to the store take effect also while it is away for the gateways.
   */
  void writeThroughOutages() { mWritesThroughOutages = true; }

  /** Appends what the gateways have logged to files, which explain() reads. */
  void keepLogs();

  /** What all gateways have logged so far. */
  QString logs();

  /** A gateway's state dump. */
  std::string state(int aIndex);
  /** Starts one more gateway; returns its index. */
  int addGateway();

  /** The gateways that are listed in the store. */
  int listedGateways();
  ChildProcess& gateway(int aIndex) { return *mGateways[at(aIndex)]; }
  ChildProcess& upstream(int aIndex) { return *mUpstreams[at(aIndex)]; }
  bool isReady(int aIndex);
  std::string metrics(int aIndex);

  /** Of requests and answers; in the configurations that are written from now on. */
  void setMaxBodyBytes(qint64 aBytes) { mMaxBodyBytes = aBytes; }

  /** Rows of the columns "name", "api-keys", "priority", and maybe "rate-per-s" and
   * "burst", in the configurations that are written from now on: none, if it is empty.
   * With them "/open/" is a public route. */
  void setTenants(const std::string& aRows) { mTenants = aRows; }

  /** The configurations that are written from now on don't contain tenants, as at first.
   */
  void omitTenants() { mTenants.reset(); }

  /** What the settings of gateways that are started from now on say of keys. */
  void setKeyPolicy(bool aFailsClosed, int aRevokeMs)
  {
    mFailsClosed = aFailsClosed;
    mRevokeMs = aRevokeMs;
  }

  /** The operator's share of hedges, for gateways that are started from now on. */
  void setHedgeShare(double aShare) { mHedgeShare = aShare; }

  /** From its next start on, a gateway has no path to the store. */
  void cutFromStore(int aIndex) { mCutFromStore.insert(aIndex); }
  /** The requests a second that cold upstreams take, in the configurations that are
   * written from now on; 0: not limited. */
  void setWarmUpPerSecond(double aPerSecond) { mWarmUpPerSecond = aPerSecond; }

  /** For which upstreams that are listed from now on are still cold, as a text. */
  void setListedWarmUp(const std::string& aLeft) { mListedWarmUp = aLeft; }

  /** Of gateways that are started from now on. */
  void setLimits(int aMaxFds, int aMemoryMb);

  /** Writes a gateway's settings file, or one that can't be read. */
  void writeSettings(int aIndex, double aRetryShare = 0.2) const;
  void spoilSettings(int aIndex);

  /** Writes a configuration: "/read/" is safe, "/order/" is not, and "/vN/" its version.
   */
  void writeConfig(int aVersion);

  /** Lists an upstream in the store as "ready" or "draining", or, empty, not at all. */
  void listUpstream(int aIndex,
                    const std::string& aState,
                    qint64 aStartedMs = 1'700'000'000'000,
                    int aSequence = 1);
  /** The zone with which an upstream is listed from now on: "recife" unless set, "natal",
   * both in the gateways' region "litoral", or "petrolina" in "sertao". */
  void placeUpstream(int aIndex, const std::string& aZone) { mZones[aIndex] = aZone; }

  /** Evacuates a zone, or takes that back. */
  void evacuate(const std::string& aZone, bool aIsEvacuated = true);

  /** The `allowed-regions` of "/read/", as JSON; in the configurations that are written
   * from now on. */
  void allowReadsIn(const std::string& aRegions) { mReadRegions = aRegions; }

  void writeRecord(const std::string& aTopic,
                   const std::string& aKey,
                   const std::string& aValue);

  /** Ends the store, so that another server can take its place. */
  void stopStore() { mStore->kill(); }
  QHostAddress storeHost() const { return host(kStoreHost); }

  /** Changes the store's behaviour; returns the calls that it has had. */
  qint64 setStore(const std::string& aQuery = {});
  void setUpstream(int aIndex, const std::string& aQuery);

  /** A caller's request. */
  static http::Request makeCall(const std::string& aMethod,
                                const std::string& aPath,
                                const std::string& aId,
                                const http::HeaderList& aMore = {});

  /** Sends one request on a connection of its own. */
  std::optional<http::Response> call(int aGateway,
                                     const std::string& aMethod,
                                     const std::string& aPath,
                                     const std::string& aId,
                                     const http::HeaderList& aMore = {});

  /** What masticwallctl explains of a request from the logs of all gateways so far. */
  QString explain(const std::string& aId);

  /** What has reached one upstream so far. */
  LedgerFile ledgerOf(int aIndex) const;

  /** The upstreams that ran the request `aId`, over all of them. */
  int runsOf(const std::string& aId) const;

  /** What has reached all upstreams. */
  LedgerFile ledger() const;

  /** The runs of each request, over all upstreams. */
  std::map<std::string, int> runsById() const;
  QHostAddress host(int aLast) const;

  /** Where a gateway listens for callers, on kFrontPort. */
  QHostAddress gatewayHost(int aIndex) const;
  std::string upstreamName(int aIndex) const;

private:
  static constexpr int kStoreHost = 2;
  static constexpr int kNoStoreHost = 3; ///< nothing listens there

  static std::size_t at(int aIndex) { return static_cast<std::size_t>(aIndex); }
  void keepLog(int aIndex);
  QString logPath(int aIndex) const;
  QString settingsPath(int aIndex) const;
  QStringList upstreamArguments(int aIndex) const;
  http::Response post(const QHostAddress& aHost,
                      quint16 aPort,
                      const std::string& aTarget,
                      const std::string& aBody);

  int mNet;
  bool mWritesThroughOutages = false;
  qint64 mMaxBodyBytes = kMiB;
  std::set<int> mCutFromStore;
  std::optional<std::string> mTenants;
  bool mFailsClosed = false;
  double mHedgeShare = 0.0;
  int mRevokeMs = 5000;
  std::string mReadRegions = "null";
  std::map<int, std::string> mZones; ///< by upstream
  double mWarmUpPerSecond = 0.0;
  std::string mListedWarmUp = "0ms";
  int mMaxFds = 4100;
  int mMemoryMb = 260;
  QTemporaryDir mDirectory;
  std::unique_ptr<ChildProcess> mStore;
  std::vector<std::unique_ptr<ChildProcess>> mGateways;
  std::vector<std::unique_ptr<ChildProcess>> mUpstreams;
};

} // namespace masticwall::test
