#include "ChildProcess.h"
#include "Wait.h"
#include <csignal>

namespace masticwall::test {

ChildProcess::ChildProcess(const QString& aProgram, const QStringList& aArguments)
{
  mProcess.start(QStringLiteral(MASTICWALL_BIN_DIR "/") + aProgram, aArguments);
  mProcess.waitForStarted();
}

ChildProcess::~ChildProcess()
{
  kill();
}

void
ChildProcess::signal(int aSignal)
{
  if (isRunning()) {
    ::kill(static_cast<pid_t>(pid()), aSignal);
  }
}

void
ChildProcess::kill()
{
  if (isRunning()) {
    signal(SIGKILL);
    mProcess.waitForFinished();
  }
}

int
ChildProcess::waitForEnd(int aMostMs)
{
  if (!waitUntil([this] { return !isRunning(); }, aMostMs)) {
    return -1;
  }
  return mProcess.exitStatus() == QProcess::NormalExit ? mProcess.exitCode() : -1;
}

QString
ChildProcess::standardError()
{
  mError += QString::fromUtf8(mProcess.readAllStandardError());
  return mError;
}

} // namespace masticwall::test
