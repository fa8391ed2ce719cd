#include <decide/ProbePlan.h>

namespace masticwall {

std::vector<std::string>
ProbePlan::takeDue(const std::vector<std::string>& aUpstreams,
                   const MeasuringBudget& aBudget,
                   Instant aNow)
{
  std::vector<std::string> due;
  if (aBudget.probesPerSecond <= 0.0) {
    return due;
  }
  const std::chrono::duration<double> seconds(aBudget.vms / aBudget.probesPerSecond);
  const auto period = std::chrono::duration_cast<Duration>(seconds);
  std::map<std::string, Instant> next;
  for (const auto& it : aUpstreams) {
    const auto known = mNext.find(it);
    if (known == mNext.end()) {
      next[it] = aNow + std::chrono::duration_cast<Duration>(seconds * mPhase);
      continue;
    }
    next[it] = known->second;
    if (known->second <= aNow) {
      due.push_back(it);
      // From now, not from when it was due: a late probe is never made up for.
      next[it] = aNow + period;
    }
  }
  mNext = std::move(next);
  return due;
}

} // namespace masticwall
