#pragma once

#include <functional>
#include <memory>
#include <utility>

namespace masticwall {

/**
 * A subscription to a TimerService. Destroying or resetting it cancels the callback.
 * Use it on the service's thread only; it may outlive the service.
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

  /** The callback will not run any more. */
  void cancel()
  {
    if (mCallback != nullptr) {
      *mCallback = nullptr;
      mCallback.reset();
    }
  }

  /** The callback may still run. */
  bool isActive() const { return mCallback != nullptr && *mCallback != nullptr; }

private:
  std::shared_ptr<Callback> mCallback; ///< shared with the service, emptied on cancel
};

} // namespace masticwall
