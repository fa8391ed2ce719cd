#include "Ledger.h"
#include <fcntl.h>
#include <unistd.h>

namespace masticwall::standin {

namespace {

constexpr mode_t kMode = 0644;

} // namespace

Ledger::Ledger(const std::string& aFile)
{
  if (!aFile.empty()) {
    mFd = open(aFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kMode);
  }
}

Ledger::~Ledger()
{
  if (mFd >= 0) {
    close(mFd);
  }
}

void
Ledger::write(const std::string& aLine)
{
  if (mFd >= 0) {
    const auto line = aLine + "\n";
    [[maybe_unused]] const auto n = ::write(mFd, line.data(), line.size());
  }
}

} // namespace masticwall::standin
