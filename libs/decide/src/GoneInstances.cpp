#include <algorithm>
#include <decide/GoneInstances.h>

namespace masticwall {

namespace {

/** Older than any copy that the source comes back from. */
constexpr Duration kForgetAfter = std::chrono::minutes(10);

/** The source drops the entries of upstreams that are silent for so long. */
constexpr Duration kMaxStaleTime = std::chrono::seconds(6);

} // namespace

void
GoneInstances::onListChange(const VmList& aBefore, const VmList& aAfter, Instant aNow)
{
  for (const auto& it : aBefore) {
    if (it.role == VmRole::Upstream) {
      mGoneAt.try_emplace({ it.name, it.instance }, aNow);
    }
  }
  for (const auto& it : aAfter) {
    mGoneAt.erase({ it.name, it.instance });
  }
  std::erase_if(mGoneAt,
                [aNow](const auto& aGone) { return aNow - aGone.second > kForgetAfter; });
}

void
GoneInstances::onRestored(Instant aNow)
{
  mRestoredAt = aNow;
}

void
GoneInstances::removeStale(VmList& aVms, Instant aNow) const
{
  if (mRestoredAt == Instant{} || aNow - mRestoredAt > kMaxStaleTime) {
    return;
  }
  std::erase_if(aVms, [this](const Vm& aVm) {
    const auto it = mGoneAt.find({ aVm.name, aVm.instance });
    return aVm.role == VmRole::Upstream && it != mGoneAt.end() &&
           it->second < mRestoredAt;
  });
}

} // namespace masticwall
