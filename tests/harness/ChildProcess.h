#pragma once

#include <QProcess>
#include <QString>
#include <QStringList>

namespace masticwall::test {

/** A process started by a test; ended by its id with the object. */
class ChildProcess
{
public:
  ChildProcess(const QString& aProgram, const QStringList& aArguments);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  bool isRunning() const { return mProcess.state() == QProcess::Running; }
  qint64 pid() const { return mProcess.processId(); }

  /** Sends a signal by the process's id. */
  void signal(int aSignal);

  /** Kills the process and waits for its end. */
  void kill();

  /** Runs the event loop until the process ends; its exit code, or -1. */
  int waitForEnd(int aMostMs = 30'000);

  QString standardOutput() { return QString::fromUtf8(mProcess.readAllStandardOutput()); }
  QString standardError();

private:
  QProcess mProcess;
  QString mError;
};

} // namespace masticwall::test
