#pragma once

#include "OrderAccount.h"
#include "TestSystem.h"
#include <http/UpstreamConnectionPool.h>
#include <list>
#include <random>
#include <runtime/TimerService.h>

namespace masticwall::test {

/**
 * Sends orders at a steady rate to random VMs; what is not answered is sent again, with
 * its key, through another VM, and some are sent through two at once.
 */
class OrderDriver
{
public:
  OrderDriver(const TestSystem& aSystem, int aVms, std::uint64_t aSeed);

  /** Sends `aOrders` and calls back for each that has ended; runs until all have. */
  void run(int aOrders, double aPerSecond);

  /** Sends every order again that has not been answered. */
  void resendUnanswered();

  const OrderAccount& account() const { return mAccount; }

private:
  struct Order
  {
    std::string key;
    int attemptsLeft = 3;
    bool isAnswered = false;
  };

  void begin();
  void attempt(std::size_t aOrder);
  void onEnd(std::size_t aOrder, const http::ExchangeResult& aResult);
  void later(Duration aDelay, std::function<void()> aTask);
  int draw(int aCount)
  {
    return std::uniform_int_distribution<int>(0, aCount - 1)(mRandom);
  }

  const TestSystem& mSystem;
  int mVms;
  std::uint64_t mSeed;
  std::mt19937_64 mRandom;
  TimerService mTimers;
  http::UpstreamConnectionPool mPool;
  std::vector<Order> mOrders;
  std::list<TimerHandle> mLater;
  TimerHandle mNext;
  int mOpen = 0;
  OrderAccount mAccount;
};

} // namespace masticwall::test
