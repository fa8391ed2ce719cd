#include <decide/ProbeSchedule.h>

namespace masticwall {

void
ProbeSchedule::setUpstreams(const std::vector<std::string>& aUpstreams,
                            const ProbeBudget& aBudget,
                            Instant aNow)
{
  std::unordered_map<std::string, Instant> dueTimes;
  std::multimap<Instant, std::string> upstreamsByDueTime;
  const auto firstDueTime =
    aNow + std::chrono::duration_cast<Duration>(periodOf(aBudget) * mPhase);
  for (const auto& it : aUpstreams) {
    const auto known = mDueTimes.find(it);
    const auto dueTime = known == mDueTimes.end() ? firstDueTime : known->second;
    dueTimes[it] = dueTime;
    upstreamsByDueTime.emplace(dueTime, it);
  }
  mDueTimes = std::move(dueTimes);
  mUpstreamsByDueTime = std::move(upstreamsByDueTime);
}

std::vector<std::string>
ProbeSchedule::takeDue(const ProbeBudget& aBudget, Instant aNow)
{
  std::vector<std::string> due;
  if (aBudget.probesPerSecond <= 0.0) {
    return due;
  }
  while (!mUpstreamsByDueTime.empty() && mUpstreamsByDueTime.begin()->first <= aNow) {
    due.push_back(mUpstreamsByDueTime.begin()->second);
    mUpstreamsByDueTime.erase(mUpstreamsByDueTime.begin());
  }
  for (const auto& it : due) {
    // Counts from now rather than from the due time, so that a pause is not followed by a
    // burst of late probes.
    mDueTimes[it] = aNow + periodOf(aBudget);
    mUpstreamsByDueTime.emplace(mDueTimes[it], it);
  }
  return due;
}

Duration
ProbeSchedule::periodOf(const ProbeBudget& aBudget)
{
  if (aBudget.probesPerSecond <= 0.0) {
    return Duration{ 0 };
  }
  const std::chrono::duration<double> seconds(aBudget.maxVms / aBudget.probesPerSecond);
  return std::chrono::duration_cast<Duration>(seconds);
}

} // namespace masticwall
