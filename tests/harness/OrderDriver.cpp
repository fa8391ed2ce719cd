#include "OrderDriver.h"
#include "Wait.h"

namespace masticwall::test {

namespace {

constexpr int kConnections = 300; ///< to each VM
constexpr int kMostRunMs = 90'000;
constexpr int kMostDelayMs = 300;
constexpr int kOneInTwice = 8; ///< one order in so many is sent through two VMs at once

} // namespace

OrderDriver::OrderDriver(const TestSystem& aSystem, int aVms, std::uint64_t aSeed)
  : mSystem(aSystem)
  , mVms(aVms)
  , mSeed(aSeed)
  , mRandom(aSeed)
  , mPool(mTimers, kConnections)
{
}

void
OrderDriver::run(int aOrders, double aPerSecond)
{
  const std::chrono::duration<double> gap(1.0 / aPerSecond);
  int left = aOrders;
  mNext = mTimers.scheduleEvery(std::chrono::duration_cast<Duration>(gap), [this, &left] {
    if (left > 0) {
      --left;
      begin();
    }
  });
  waitUntil([&] { return left == 0 && mOpen == 0; }, kMostRunMs);
  mNext.cancel();
}

void
OrderDriver::resendUnanswered()
{
  for (std::size_t i = 0; i < mOrders.size(); ++i) {
    if (!mOrders[i].isAnswered) {
      mOrders[i].attemptsLeft = 1;
      attempt(i);
    }
  }
  waitUntil([&] { return mOpen == 0; }, kMostRunMs);
}

void
OrderDriver::begin()
{
  const auto index = mOrders.size();
  mOrders.push_back({ "s" + std::to_string(mSeed) + '-' + std::to_string(index) });
  attempt(index);
  if (draw(kOneInTwice) == 0) {
    attempt(index);
  }
}

void
OrderDriver::attempt(std::size_t aOrder)
{
  auto& order = mOrders[aOrder];
  --order.attemptsLeft;
  ++mOpen;
  http::Exchange exchange;
  exchange.host = mSystem.vmHost(draw(mVms));
  exchange.port = TestSystem::kCallerPort;
  exchange.request =
    makeRequest("POST", "/orders", { { "Idempotency-Key", order.key } }, order.key);
  exchange.connectTimeout = 1s;
  exchange.timeout = 8s;
  exchange.done = [this, aOrder](const http::ExchangeResult& aResult) {
    onEnd(aOrder, aResult);
  };
  mPool.start(std::move(exchange));
}

void
OrderDriver::onEnd(std::size_t aOrder, const http::ExchangeResult& aResult)
{
  auto& order = mOrders[aOrder];
  auto outcome = aResult.error ? std::string("none") : outcomeOf(aResult.response);
  if (aResult.error && !aResult.mayHaveRun) {
    outcome = "not-run"; // no byte of it was sent
  }
  mAccount.add(order.key, outcome);
  order.isAnswered = order.isAnswered || outcome == "answered";
  if (order.isAnswered || order.attemptsLeft <= 0) {
    --mOpen;
    return;
  }
  later(std::chrono::milliseconds(draw(kMostDelayMs)), [this, aOrder] {
    attempt(aOrder);
    --mOpen;
  });
}

void
OrderDriver::later(Duration aDelay, std::function<void()> aTask)
{
  mLater.emplace_back();
  const auto it = std::prev(mLater.end());
  *it = mTimers.scheduleAfter(aDelay, [this, it, task = std::move(aTask)] {
    const auto callback = task;
    mLater.erase(it);
    callback();
  });
}

} // namespace masticwall::test
