#include <algorithm>
#include <decide/MemberSweep.h>

namespace masticwall {

namespace {

/** In this time each member is asked once. */
constexpr Duration kRoundTime = std::chrono::seconds(60);
constexpr Duration kMinPeriod = std::chrono::milliseconds(50);

constexpr int kFailuresUntilGone = 3;

/** A VM that is cut off or paused for a shorter time is not taken off the list. */
constexpr Duration kMinAbsence = std::chrono::seconds(60);

} // namespace

Duration
MemberSweep::periodFor(std::size_t aMembers)
{
  return std::max(kMinPeriod,
                  kRoundTime / static_cast<int>(std::max<std::size_t>(1, aMembers)));
}

std::optional<Vm>
MemberSweep::next(const VmList& aMembers)
{
  if (aMembers.empty()) {
    return std::nullopt;
  }
  // In the order of names: the list may change at any time.
  const auto isBefore = [](const Vm& aLeft, const Vm& aRight) {
    return aLeft.name < aRight.name;
  };
  const Vm* chosen = nullptr;
  for (const auto& it : aMembers) {
    if (it.name > mLastAsked && (chosen == nullptr || it.name < chosen->name)) {
      chosen = &it;
    }
  }
  const auto vm = chosen != nullptr
                    ? *chosen
                    : *std::min_element(aMembers.begin(), aMembers.end(), isBefore);
  mLastAsked = vm.name;
  return vm;
}

bool
MemberSweep::recordFailure(const std::string& aVm, Instant aNow)
{
  auto& failures = mFailures[aVm];
  if (failures.inARow++ == 0) {
    failures.firstAt = aNow;
  }
  const bool isGone =
    failures.inARow >= kFailuresUntilGone && aNow - failures.firstAt >= kMinAbsence;
  if (isGone) {
    mFailures.erase(aVm);
  }
  return isGone;
}

} // namespace masticwall
