#include "FaultDriver.h"
#include <csignal>
#include <cstdio>

namespace masticwall::test {

namespace {

constexpr Duration kGap = std::chrono::milliseconds(400);
constexpr Duration kShort = std::chrono::milliseconds(400);
constexpr Duration kLong = std::chrono::milliseconds(1800);

} // namespace

FaultDriver::FaultDriver(TestSystem& aSystem, int aVms, std::uint64_t aSeed)
  : mSystem(aSystem)
  , mVms(aVms)
  , mRandom(aSeed)
{
}

void
FaultDriver::start()
{
  next();
}

void
FaultDriver::stop()
{
  mNext.cancel();
  for (auto& [timer, task] : mInForce) {
    timer.cancel();
    task();
  }
  mInForce.clear();
}

void
FaultDriver::next()
{
  const auto& faults = EnumTable<Fault>::kEntries;
  const auto& fault =
    faults[static_cast<std::size_t>(draw(static_cast<int>(faults.size())))];
  ++mCount;
  bring(fault.value);
  mNext = mTimers.scheduleAfter(kGap, [this] { next(); });
}

void
FaultDriver::bring(Fault aFault)
{
  const auto vm = draw(mVms);
  const auto upstream = draw(mSystem.upstreamCount());
  auto& system = mSystem;
  switch (aFault) {
    case Fault::KillVm:
      system.killVm(vm);
      takeBackLater(kShort, [&system, vm] { system.replaceVm(vm); });
      return;
    case Fault::PauseEntry:
      system.entry(vm).signal(SIGSTOP);
      takeBackLater(kLong, [&system, vm] { system.entry(vm).signal(SIGCONT); });
      return;
    case Fault::PauseControl:
      system.control(vm).signal(SIGSTOP);
      takeBackLater(kLong, [&system, vm] { system.control(vm).signal(SIGCONT); });
      return;
    case Fault::KillControl:
      system.control(vm).kill();
      takeBackLater(kShort, [&system, vm] { system.startControl(vm); });
      return;
    case Fault::LogHangs:
      system.setLog("hang=1");
      takeBackLater(kLong, [&system] { system.setLog("hang=0"); });
      return;
    case Fault::LogRefuses:
      system.setLog("refuse=1");
      takeBackLater(kShort, [&system] { system.setLog("refuse=0"); });
      return;
    case Fault::LogLosesAnswers:
      system.setLog("lose_answers=20");
      return;
    case Fault::LogSlow:
      system.setLog("delay_ms=300");
      takeBackLater(kLong, [&system] { system.setLog("delay_ms=0"); });
      return;
    case Fault::CutRequests:
      system.setUpstreamProxy(upstream, "cut_after_request=400");
      takeBackLater(kShort, [&system, upstream] {
        system.setUpstreamProxy(upstream, "cut_after_request=-1");
      });
      return;
    case Fault::CutAnswers:
      system.setUpstreamProxy(upstream, "cut_after_answer=250");
      takeBackLater(kShort, [&system, upstream] {
        system.setUpstreamProxy(upstream, "cut_after_answer=-1");
      });
      return;
    case Fault::FreezeUpstream:
      system.setUpstreamProxy(upstream, "freeze=1");
      return;
    case Fault::KillUpstream:
      system.upstream(upstream).kill();
      takeBackLater(kShort, [&system, upstream] { system.startUpstream(upstream); });
      return;
  }
}

void
FaultDriver::takeBackLater(Duration aAfter, const std::function<void()>& aTask)
{
  mInForce.emplace_back(TimerHandle(), aTask);
  const auto it = std::prev(mInForce.end());
  it->first = mTimers.scheduleAfter(aAfter, [this, it] {
    const auto task = std::move(it->second);
    mInForce.erase(it);
    task();
  });
}

} // namespace masticwall::test
