#include "OrderAccount.h"
#include <algorithm>

namespace masticwall::test {

void
OrderAccount::add(const std::string& aKey, const std::string& aOutcome)
{
  mOutcomes[aKey].push_back(aOutcome);
}

std::vector<std::string>
OrderAccount::disagreements(const LedgerFile& aLedger) const
{
  std::vector<std::string> list;
  for (const auto& [key, outcomes] : mOutcomes) {
    const auto runs = aLedger.runsOf(key);
    const bool isAnswered =
      std::find(outcomes.begin(), outcomes.end(), "answered") != outcomes.end();
    const bool isNotRun =
      std::all_of(outcomes.begin(), outcomes.end(), [](const auto& aOutcome) {
        return aOutcome == "not-run";
      });
    const bool isRight = isAnswered ? runs == 1 : isNotRun ? runs == 0 : runs <= 1;
    if (!isRight) {
      std::string text = key + " ran " + std::to_string(runs) + " times:";
      for (const auto& it : outcomes) {
        text += ' ' + it;
      }
      list.push_back(text);
    }
  }
  return list;
}

std::size_t
OrderAccount::count(const std::string& aOutcome) const
{
  std::size_t n = 0;
  for (const auto& [key, outcomes] : mOutcomes) {
    n += static_cast<std::size_t>(std::count(outcomes.begin(), outcomes.end(), aOutcome));
  }
  return n;
}

} // namespace masticwall::test
