#pragma once

#include "LedgerFile.h"
#include <map>
#include <string>
#include <vector>

namespace masticwall::test {

/**
 * What callers were told of each order, held against the upstreams' ledgers: answered =
 * ran once, only "not run" = ran never, anything else = ran at most once.
 */
class OrderAccount
{
public:
  /** One more request with `aKey` ended with `aOutcome` ("none": no answer came). */
  void add(const std::string& aKey, const std::string& aOutcome);

  /** The keys whose outcomes and ledger disagree, each with what was seen. */
  std::vector<std::string> disagreements(const LedgerFile& aLedger) const;

  std::size_t orders() const { return mOutcomes.size(); }
  std::size_t count(const std::string& aOutcome) const;

private:
  std::map<std::string, std::vector<std::string>> mOutcomes;
};

} // namespace masticwall::test
