#pragma once

#include "LimitWay.h"
#include "ModelIssuers.h"
#include <decide/PermitFallback.h>
#include <decide/PermitIssuer.h>
#include <decide/PermitRate.h>
#include <decide/PermitStock.h>

namespace masticwall::model {

/** VMs request permits from the VM that issues them, as the product does. `P` is a
 * LimitPlan or a ColdPlan. */
template<class P>
class PermitWayOf
{
public:
  PermitWayOf(VirtualTime& aTime, const P& aPlan, std::mt19937_64& aRandom)
    : mTime(aTime)
    , mPlan(aPlan)
    , mRandom(aRandom)
    , mStart(aTime.now())
    , mStates(static_cast<std::size_t>(aPlan.vms))
  {
    mIssuers = issuersAmong(aPlan.vms);
  }

  void call(int aVm, const std::function<void()>& aSend)
  {
    auto& state = mStates[static_cast<std::size_t>(aVm)];
    const auto now = mTime.now();
    if (state.stock.tryTake(now)) {
      aSend();
      return;
    }
    if (state.stock.nextRequestAt(kRank) > now) {
      return; // refused
    }
    state.waiting.push_back(aSend);
    if (state.waiting.size() == 1) {
      request(aVm, 0);
    }
  }

private:
  static constexpr Rank kRank = Rank::Standard;
  static constexpr Duration kOneWay = std::chrono::milliseconds(2);
  static constexpr Duration kTimeout = std::chrono::milliseconds(250);
  static constexpr Duration kSkipTime = std::chrono::seconds(1);

  struct State
  {
    PermitStock stock;
    PermitIssuer issuer;
    PermitFallback fallback;
    std::map<std::string, Instant> skippedUntil;
    std::vector<std::function<void()>> waiting;
  };

  void request(int aVm, std::size_t aIssuer)
  {
    auto& state = mStates[static_cast<std::size_t>(aVm)];
    const PermitRequest wanted{ "i-1",           "1",
                                mPlan.perSecond, Duration{ 0 },
                                kRank,           static_cast<int>(state.waiting.size()),
                                P::kMayOverdraw };
    while (aIssuer < mIssuers.size() &&
           state.skippedUntil[mIssuers[aIssuer].name] > mTime.now()) {
      ++aIssuer;
    }
    if (aIssuer == mIssuers.size()) {
      onGrant(aVm, state.fallback.grant(wanted, mPlan.vms, mTime.now(), mRandom));
      return;
    }
    const auto issuer = indexOfVm(mIssuers[aIssuer]);
    const bool isReachable =
      mPlan.isRunning(issuer, mTime.now(), mStart) &&
      (issuer == aVm || mPlan.reaches(aVm, issuer, mTime.now(), mStart));
    if (!isReachable) {
      mTime.after(kTimeout, [this, aVm, aIssuer] {
        mStates[static_cast<std::size_t>(aVm)].skippedUntil[mIssuers[aIssuer].name] =
          mTime.now() + kSkipTime;
        request(aVm, aIssuer + 1);
      });
      return;
    }
    mTime.after(kOneWay, [this, aVm, issuer, wanted] {
      const auto part = mPlan.reachesPeers(issuer) ? 1.0 : kPartWithoutContact;
      const auto grant =
        mStates[static_cast<std::size_t>(issuer)].issuer.issue(wanted, part, mTime.now());
      mTime.after(kOneWay, [this, aVm, grant] { onGrant(aVm, grant); });
    });
  }

  void onGrant(int aVm, const PermitGrant& aGrant)
  {
    auto& state = mStates[static_cast<std::size_t>(aVm)];
    state.stock.add(aGrant, kRank, mTime.now());
    for (const auto& send : std::exchange(state.waiting, {})) {
      if (state.stock.tryTake(mTime.now())) {
        send();
      }
    }
  }

  VirtualTime& mTime;
  const P& mPlan;
  std::mt19937_64& mRandom;
  Instant mStart;
  VmList mIssuers;
  std::vector<State> mStates; ///< by VM
};

using PermitWay = PermitWayOf<LimitPlan>;

static_assert(LimitWay<PermitWay>);

} // namespace masticwall::model
