#include <algorithm>
#include <decide/VmListMerger.h>

namespace masticwall {

namespace {

/** After this time without a read, the source counts as having been unreachable. */
constexpr Duration kOutageThreshold = std::chrono::milliseconds(1900);

/**
 * How long missing upstreams are retained after the first read that follows an outage.
 * Live upstreams are listed again within 2 s after the source recovers; the recovery may
 * precede that read by up to one read attempt.
 */
constexpr Duration kRetentionTime = std::chrono::milliseconds(1700);

/** Enough for all VMs to list themselves again, without exceeding the source's budget. */
constexpr Duration kMemberRetentionTime = std::chrono::seconds(12);

/** Finds the entry with the role and name of `aVm`; null if there is none. */
template<class List>
auto*
findEntry(List& aList, const Vm& aVm)
{
  const auto it = std::find_if(aList.begin(), aList.end(), [&](const Vm& aOther) {
    return aOther.role == aVm.role && aOther.name == aVm.name;
  });
  return it == aList.end() ? nullptr : &*it;
}

/** Marks as leaving the instances in `aList` that `aKnown` marks as leaving. */
void
propagateLeaving(const VmList& aKnown, VmList& aList)
{
  for (auto& it : aList) {
    const auto* const known = findEntry(aKnown, it);
    if (known != nullptr && known->instance == it.instance) {
      it.leaving = it.leaving || known->leaving;
    }
  }
}

} // namespace

void
VmListMerger::onRestored(Instant aNow)
{
  mRetainUntil = aNow + kRetentionTime;
  mRetainMembersUntil = aNow + kMemberRetentionTime;
}

bool
VmListMerger::mustRetain(const Vm& aVm, Instant aNow) const
{
  return aNow < (aVm.role == VmRole::Upstream ? mRetainUntil : mRetainMembersUntil);
}

VmList
VmListMerger::mergeFromSource(const VmList& aKnown,
                              VmList aRead,
                              Instant aLastReadAt,
                              Instant aNow)
{
  if (aLastReadAt != Instant{} && aNow - aLastReadAt > kOutageThreshold) {
    mRetainUntil = aNow + kRetentionTime;
  }
  propagateLeaving(aKnown, aRead);
  for (const auto& it : aKnown) {
    if (mustRetain(it, aNow) && findEntry(aRead, it) == nullptr) {
      aRead.push_back(it);
      aRead.back().isRetained = true;
    }
  }
  return aRead;
}

VmList
VmListMerger::mergeFromPeer(const VmList& aKnown,
                            VmList aReceived,
                            Instant aLastReadAt,
                            Instant aNow) const
{
  const bool wasUnreachable = aNow - aLastReadAt > kOutageThreshold;
  if (!aKnown.empty()) {
    std::erase_if(aReceived, [&](const Vm& aVm) {
      const auto* const known = findEntry(aKnown, aVm);
      const bool isSameInstance = known != nullptr && known->instance == aVm.instance;
      const bool mayRetain = wasUnreachable || mustRetain(aVm, aNow);
      return aVm.isRetained && !(isSameInstance && (mayRetain || known->isRetained));
    });
  }
  propagateLeaving(aKnown, aReceived);
  return aReceived;
}

} // namespace masticwall
