#pragma once

#include <functional>
#include <memory>
#include <utility>

namespace masticwall {

/**
 * Owns a callback scheduled with a TimerService. Destroying it or assigning to it cancels
 * the callback. Use it on the service's thread only; it may outlive the service.
 */
class TimerHandle
{
public:
  using Callback = std::function<void()>;

  TimerHandle() = default;
  explicit TimerHandle(std::shared_ptr<Callback> aCallback)
    : mCallback(std::move(aCallback))
  {
  }
  ~TimerHandle() { cancel(); }
  TimerHandle(TimerHandle&& aOther) noexcept
    : mCallback(std::move(aOther.mCallback))
  {
  }
  TimerHandle& operator=(TimerHandle&& aOther) noexcept
  {
    cancel();
    mCallback = std::move(aOther.mCallback);
    return *this;
  }
  TimerHandle(const TimerHandle&) = delete;
  TimerHandle& operator=(const TimerHandle&) = delete;

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
