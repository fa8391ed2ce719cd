#include "FleetModel.h"

namespace masticwall::model {

namespace {

Preset
presetFor(const FleetPlan& aPlan)
{
  Preset preset;
  preset.limits.areSharedByAllVms = true;
  preset.limits.loadQueries = aPlan.loadQueries;
  preset.limits.loadQuerySlots = aPlan.loadQuerySlots;
  preset.limits.retryBudget = aPlan.retryRatio;
  preset.limits.retryBurst = aPlan.retryBurst;
  for (const auto& it : aPlan.kinds) {
    Route route;
    route.service = "s";
    route.rank = it.rank;
    route.deadline = it.deadline;
    route.target = it.target;
    preset.routes.push_back(route);
  }
  preset.indexRoutes();
  return preset;
}

} // namespace

FleetModel::FleetModel(const FleetPlan& aPlan)
  : mPlan(aPlan)
  , mPreset(presetFor(aPlan))
  , mRandom(aPlan.seed)
{
  for (int i = 0; i < mPlan.upstreams; ++i) {
    mUpstreams.push_back(std::make_unique<ModelUpstream>(mTime, mPlan, mRandom()));
  }
  for (int i = 0; i < mPlan.entries; ++i) {
    mEntries.push_back(
      std::make_unique<ModelEntry>(mTime, mPlan, mPreset, mUpstreams, mResult, i));
  }
  for (int i = 0; i < mPlan.callers; ++i) {
    mEntryOfCaller.push_back(randomIndex(mRandom, mEntries.size()));
  }
}

FleetResult
FleetModel::run(Duration aTime)
{
  for (std::size_t i = 0; i < mPlan.kinds.size(); ++i) {
    scheduleArrival(i);
  }
  mTime.runUntil(mTime.now() + aTime);
  return mResult;
}

void
FleetModel::scheduleArrival(std::size_t aKind)
{
  std::exponential_distribution<double> gap(mPlan.kinds[aKind].perSecond);
  mTime.after(seconds(gap(mRandom)), [this, aKind] {
    scheduleArrival(aKind);
    const auto entry = mEntryOfCaller.empty()
                         ? randomIndex(mRandom, mEntries.size())
                         : mEntryOfCaller[randomIndex(mRandom, mEntryOfCaller.size())];
    mEntries[entry]->onCall(aKind);
  });
}

} // namespace masticwall::model
