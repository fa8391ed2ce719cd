#pragma once

#include "ChildProcess.h"
#include "LedgerFile.h"
#include "SystemPlan.h"
#include "TestCaller.h"
#include <QHostAddress>
#include <QTemporaryDir>
#include <memory>
#include <vector>

namespace masticwall::test {

/** What masticwallctl printed and its exit code. */
struct CtlResult
{
  int exitCode = -1;
  QString output;
  QString error;
};

/**
 * A whole system of real processes on loopback addresses of its own: stand-ins of the
 * platform and the upstreams, and VMs with an entry and a control process each.
 */
class TestSystem
{
public:
  static constexpr quint16 kCallerPort = 8080;

  explicit TestSystem(const SystemPlan& aPlan);
  ~TestSystem();

  /** Starts all, publishes the plan's preset, and waits until it is in force. */
  bool start();

  /** Starts the stand-ins of the platform and the upstreams, and sets the VM list. */
  bool startPlatform();
  bool startVm(int aVm);
  void killVm(int aVm);

  /** A new VM of the same name takes the place of one that was killed. */
  bool replaceVm(int aVm);
  bool publishPreset(const std::string& aText);

  ChildProcess& entry(int aVm) { return *mVms[static_cast<std::size_t>(aVm)].entry; }
  ChildProcess& control(int aVm) { return *mVms[static_cast<std::size_t>(aVm)].control; }
  void startControl(int aVm);
  ChildProcess& upstream(int aIndex)
  {
    return *mUpstreams[static_cast<std::size_t>(aIndex)].process;
  }
  int upstreamCount() const { return static_cast<int>(mUpstreams.size()); }
  void startUpstream(int aIndex);

  /** Starts an upstream anew, as another instance. */
  void restartUpstream(int aIndex);
  std::string upstreamName(int aIndex) const;

  QHostAddress vmHost(int aVm) const { return address(10 + aVm); }
  QHostAddress upstreamHost(int aIndex) const { return address(100 + aIndex); }
  std::optional<http::Response> call(int aVm,
                                     const http::Request& aRequest,
                                     int aMostMs = 15'000);
  CtlResult ctl(const QStringList& aArguments);

  /** Runs two at the same moment. */
  void ctlBoth(const QStringList& aFirst,
               const QStringList& aSecond,
               std::vector<CtlResult>& aResults);

  /** The oldest configuration record that the log still keeps. */
  qint64 firstConfigOffset();
  void appendConfig(const std::string& aData);
  void appendClaims(const std::string& aData);

  /** The list that the VMs see; and sets it, until the next publishVmList(). */
  QByteArray vmListFor(int aVm) const;
  void putVmList(const std::string& aList);

  /** The VM list service of masticwallctl, and of control processes from their next start
   * on. */
  void setVmListUrl(const QString& aUrl) { mVmListUrl = aUrl; }

  /** The state dump of a VM's entry process. */
  QJsonObject entryState(int aVm);
  QJsonObject controlState(int aVm);

  // POST /standin?QUERY to a stand-in.
  void setLog(const std::string& aQuery);
  void setUpstream(int aIndex, const std::string& aQuery);
  void setUpstreamProxy(int aIndex, const std::string& aQuery);
  void setLogProxy(const std::string& aQuery);

  /** Sets what the VM list says of an upstream and a VM of masticwall. */
  void listUpstreamLeaving(int aIndex, bool aIsLeaving);
  void publishVmList();

  LedgerFile ledger() const;
  LedgerFile ledgerOf(int aIndex) const;

  std::string presetText() const;
  QString filePath(const QString& aName) const { return mDirectory.filePath(aName); }

private:
  struct VmProcesses
  {
    std::unique_ptr<ChildProcess> entry;
    std::unique_ptr<ChildProcess> control;
    int instance = 1;
  };
  struct UpstreamProcess
  {
    std::string name;
    ServicePlan service;
    std::string region;
    std::unique_ptr<ChildProcess> process;
    std::unique_ptr<ChildProcess> proxy;
    int instance = 1;
    bool isListedLeaving = false;
  };

  QHostAddress address(int aLast) const;
  QHostAddress proxyHost(int aIndex) const { return address(170 + aIndex); }
  std::string regionOf(int aVm) const;
  QString logUrl() const;
  QString vmListUrl(int aVm) const;
  QStringList ctlArguments() const;
  void append(const std::string& aStream, const std::string& aData);
  QStringList commonArguments(int aVm) const;
  void startUpstreams();
  void startUpstreamProxy(int aIndex);
  void admin(const QHostAddress& aHost, quint16 aPort, const std::string& aQuery);
  QJsonObject state(int aVm, quint16 aPort);

  SystemPlan mPlan;
  QString mVmListUrl; ///< empty: of the stand-in
  QTemporaryDir mDirectory;
  int mNet;
  std::unique_ptr<ChildProcess> mLog;
  std::unique_ptr<ChildProcess> mLogProxy;
  std::vector<std::unique_ptr<ChildProcess>> mVmLists; ///< one, or one for each VM
  std::vector<UpstreamProcess> mUpstreams;
  std::vector<VmProcesses> mVms;
};

} // namespace masticwall::test
