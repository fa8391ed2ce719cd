#include <algorithm>
#include <decide/UpstreamHold.h>

namespace masticwall {

namespace {

/** Without a reading for so long, the source counts as having been out of reach. */
constexpr Duration kOutage = std::chrono::milliseconds(1600);

/** Upstreams that live are listed again so soon after the source's return. */
constexpr Duration kReturnTime = std::chrono::seconds(2);

} // namespace

VmList
UpstreamHold::merge(const VmList& aKnown, VmList aRead, Instant aLastRead, Instant aNow)
{
  if (aLastRead != Instant{} && aNow - aLastRead > kOutage) {
    mHoldUntil = aNow + kReturnTime;
  }
  for (const auto& known : aKnown) {
    const auto it = std::find_if(aRead.begin(), aRead.end(), [&](const Vm& aVm) {
      return aVm.role == known.role && aVm.name == known.name;
    });
    if (it == aRead.end()) {
      if (aNow < mHoldUntil && known.role == VmRole::Upstream) {
        aRead.push_back(known);
      }
    } else if (it->instance == known.instance) {
      it->leaving = it->leaving || known.leaving;
    }
  }
  return aRead;
}

} // namespace masticwall
