#include <algorithm>
#include <decide/UpstreamHold.h>

namespace masticwall {

namespace {

/** Without a reading for so long, the source counts as having been out of reach. */
constexpr Duration kOutage = std::chrono::milliseconds(1900);

/**
 * Upstreams that live are listed again within 2 s of the source's return, which was up to
 * one attempt before the first reading.
 */
constexpr Duration kReturnTime = std::chrono::milliseconds(1700);

/** The entry of the same VM; null if there is none. */
template<class List>
auto*
findSame(List& aList, const Vm& aVm)
{
  const auto it = std::find_if(aList.begin(), aList.end(), [&](const Vm& aOther) {
    return aOther.role == aVm.role && aOther.name == aVm.name;
  });
  return it == aList.end() ? nullptr : &*it;
}

void
keepLeaving(const VmList& aKnown, VmList& aList)
{
  for (auto& it : aList) {
    const auto* const known = findSame(aKnown, it);
    if (known != nullptr && known->instance == it.instance) {
      it.leaving = it.leaving || known->leaving;
    }
  }
}

} // namespace

VmList
UpstreamHold::mergeRead(const VmList& aKnown,
                        VmList aRead,
                        Instant aLastRead,
                        Instant aNow)
{
  if (aLastRead != Instant{} && aNow - aLastRead > kOutage) {
    mHoldUntil = aNow + kReturnTime;
  }
  keepLeaving(aKnown, aRead);
  for (const auto& it : aKnown) {
    const bool isMissing = it.role == VmRole::Upstream && findSame(aRead, it) == nullptr;
    if (isMissing && aNow < mHoldUntil) {
      aRead.push_back(it);
      aRead.back().isHeld = true;
    }
  }
  return aRead;
}

VmList
UpstreamHold::mergeTold(const VmList& aKnown,
                        VmList aTold,
                        Instant aLastRead,
                        Instant aNow)
{
  const bool wasAway = aNow - aLastRead > kOutage;
  if (!aKnown.empty()) {
    std::erase_if(aTold, [&](const Vm& aVm) {
      const auto* const known = findSame(aKnown, aVm);
      const bool isKnown = known != nullptr && known->instance == aVm.instance;
      return aVm.isHeld && !(isKnown && (wasAway || known->isHeld));
    });
  }
  keepLeaving(aKnown, aTold);
  return aTold;
}

} // namespace masticwall
