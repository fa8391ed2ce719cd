#pragma once

#include <string>

namespace masticwall::standin {

/**
 * What an upstream ran, one line each, written before the run begins so that it outlives
 * a crash of the process.
 */
class Ledger
{
public:
  explicit Ledger(const std::string& aFile);
  ~Ledger();
  Ledger(const Ledger&) = delete;
  Ledger& operator=(const Ledger&) = delete;

  void write(const std::string& aLine);

private:
  int mFd = -1;
};

} // namespace masticwall::standin
