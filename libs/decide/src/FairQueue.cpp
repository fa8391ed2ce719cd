#include <algorithm>
#include <decide/FairQueue.h>

namespace masticwall {

namespace {

/**
 * A new call displaces one of another tenant or caller only if that one has more than
 * this many times the waiting calls of the new call's, counting the new call.
 */
constexpr std::size_t kDisplacementRatio = 2;

} // namespace

std::uint64_t
FairQueue::keyOf(const AdmissionRequest& aRequest)
{
  return aRequest.tenant != 0 ? aRequest.tenant : aRequest.caller;
}

FairQueue::Turn
FairQueue::turnOf(const Groups::value_type& aGroup)
{
  return { aGroup.second.startTag, aGroup.second.sequence, aGroup.first };
}

double
FairQueue::firstTagOf(const AdmissionRequest& aRequest) const
{
  if (aRequest.tenant == 0) {
    return mVirtualTime + 1.0; // behind those that have had a turn in this round
  }
  const auto last = mLastTags.find(aRequest.tenant);
  return last == mLastTags.end() ? mVirtualTime : std::max(mVirtualTime, last->second);
}

void
FairQueue::push(const AdmissionRequest& aRequest)
{
  const auto [it, isNew] = mGroups.try_emplace(keyOf(aRequest));
  auto& group = it->second;
  if (isNew) {
    group.isTenant = aRequest.tenant != 0;
    group.weight = std::max(aRequest.weight, 1.0);
    group.startTag = firstTagOf(aRequest);
    group.sequence = mNextSequence++;
    mLastTags.erase(it->first);
    mTurns.insert(turnOf(*it));
  }
  group.calls.push(aRequest);
  ++mSize;
}

std::optional<AdmissionRequest>
FairQueue::pop()
{
  if (mTurns.empty()) {
    return std::nullopt;
  }
  const auto it = mGroups.find(mTurns.begin()->key);
  auto& group = it->second;
  mTurns.erase(mTurns.begin());
  mVirtualTime = group.startTag;
  group.startTag += 1.0 / group.weight;
  group.sequence = mNextSequence++;
  mTurns.insert(turnOf(*it));
  const auto request = group.calls.pop();
  --mSize;
  eraseIfEmpty(it);
  return request;
}

bool
FairQueue::remove(const AdmissionRequest& aRequest)
{
  const auto it = mGroups.find(keyOf(aRequest));
  if (it == mGroups.end() || !it->second.calls.remove(aRequest.call, aRequest.caller)) {
    return false;
  }
  --mSize;
  eraseIfEmpty(it);
  return true;
}

std::optional<AdmissionRequest>
FairQueue::displaceFor(const AdmissionRequest& aRequest)
{
  return aRequest.tenant == 0 ? displaceCaller(aRequest) : displaceTenant(aRequest);
}

std::optional<AdmissionRequest>
FairQueue::displaceCaller(const AdmissionRequest& aRequest)
{
  const auto largest = std::max_element(
    mGroups.begin(), mGroups.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.calls.size() < aRight.second.calls.size();
    });
  const auto own = mGroups.find(keyOf(aRequest));
  const auto ownSize = own == mGroups.end() ? 0 : own->second.calls.size();
  if (largest == mGroups.end() ||
      largest->second.calls.size() <= kDisplacementRatio * (ownSize + 1)) {
    return std::nullopt;
  }
  return removeNewest(largest);
}

std::optional<AdmissionRequest>
FairQueue::displaceTenant(const AdmissionRequest& aRequest)
{
  const auto last = std::max_element(
    mGroups.begin(), mGroups.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.tagOfLast() < aRight.second.tagOfLast();
    });
  if (last == mGroups.end()) {
    return std::nullopt;
  }
  const auto& calls = last->second.calls;
  const auto own = mGroups.find(keyOf(aRequest));
  const auto tag = own == mGroups.end() ? firstTagOf(aRequest) : own->second.tagOfNext();
  const bool hasBetterClaim =
    last == own ? calls.maxCallerSize() >
                    kDisplacementRatio * (calls.callerSize(aRequest.caller) + 1)
                : tag < last->second.tagOfLast();
  if (!hasBetterClaim) {
    return std::nullopt;
  }
  return removeNewest(last);
}

std::optional<AdmissionRequest>
FairQueue::removeNewest(Groups::iterator aGroup)
{
  const auto removed = aGroup->second.calls.popNewestOfLargestCaller();
  --mSize;
  eraseIfEmpty(aGroup);
  return removed;
}

void
FairQueue::eraseIfEmpty(Groups::iterator aGroup)
{
  if (aGroup->second.calls.size() > 0) {
    return;
  }
  mTurns.erase(turnOf(*aGroup));
  if (aGroup->second.isTenant && aGroup->second.startTag > mVirtualTime) {
    mLastTags[aGroup->first] = aGroup->second.startTag;
  }
  mGroups.erase(aGroup);
  if (mSize == 0) {
    mLastTags.clear();
    mVirtualTime = 0.0;
  }
}

} // namespace masticwall
