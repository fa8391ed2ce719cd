#include <decide/ProbePlan.h>

namespace masticwall {

void
ProbePlan::setUpstreams(const std::vector<std::string>& aUpstreams,
                        const MeasuringBudget& aBudget,
                        Instant aNow)
{
  std::unordered_map<std::string, Instant> due;
  std::multimap<Instant, std::string> queue;
  const auto first =
    aNow + std::chrono::duration_cast<Duration>(periodOf(aBudget) * mPhase);
  for (const auto& it : aUpstreams) {
    const auto known = mDue.find(it);
    const auto at = known == mDue.end() ? first : known->second;
    due[it] = at;
    queue.emplace(at, it);
  }
  mDue = std::move(due);
  mQueue = std::move(queue);
}

std::vector<std::string>
ProbePlan::takeDue(const MeasuringBudget& aBudget, Instant aNow)
{
  std::vector<std::string> due;
  if (aBudget.probesPerSecond <= 0.0) {
    return due;
  }
  while (!mQueue.empty() && mQueue.begin()->first <= aNow) {
    due.push_back(mQueue.begin()->second);
    mQueue.erase(mQueue.begin());
  }
  for (const auto& it : due) {
    // From now, not from when it was due: a late probe is never made up for.
    mDue[it] = aNow + periodOf(aBudget);
    mQueue.emplace(mDue[it], it);
  }
  return due;
}

Duration
ProbePlan::periodOf(const MeasuringBudget& aBudget)
{
  if (aBudget.probesPerSecond <= 0.0) {
    return Duration{ 0 };
  }
  const std::chrono::duration<double> seconds(aBudget.vms / aBudget.probesPerSecond);
  return std::chrono::duration_cast<Duration>(seconds);
}

} // namespace masticwall
