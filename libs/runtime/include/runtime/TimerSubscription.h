#pragma once

#include <functional>
#include <memory>
#include <utility>

namespace masticwall {

/**
 * Owns a callback scheduled with a TimerService. Destroying it or assigning to it cancels
 * the callback. Use it on the service's thread only; it may outlive the service.
 */
class TimerSubscription
{
public:
  using Callback = std::function<void()>;

  TimerSubscription() = default;
  explicit TimerSubscription(std::shared_ptr<Callback> aCallback)
    : mCallback(std::move(aCallback))
  {
  }
  ~TimerSubscription() { cancel(); }
  TimerSubscription(TimerSubscription&& aOther) noexcept
    : mCallback(std::move(aOther.mCallback))
  {
  }
  TimerSubscription& operator=(TimerSubscription&& aOther) noexcept
  {
    cancel();
    mCallback = std::move(aOther.mCallback);
    return *this;
  }
  TimerSubscription(const TimerSubscription&) = delete;
  TimerSubscription& operator=(const TimerSubscription&) = delete;

  /** Cancels the callback. May be called from the callback itself. */
  void cancel()
  {
    if (mCallback != nullptr) {
      *mCallback = nullptr;
      mCallback.reset();
    }
  }

  /** False once the callback is cancelled or, if it runs once only, has started. */
  bool isActive() const { return mCallback != nullptr && *mCallback != nullptr; }

private:
  /** Shared with the service. The function is empty if it will not run again. */
  std::shared_ptr<Callback> mCallback;
};

} // namespace masticwall
