#include <algorithm>
#include <decide/CallerTurns.h>

namespace masticwall {

std::size_t
CallerTurns::callerSize(std::uint64_t aCaller) const
{
  const auto it = mByCaller.find(aCaller);
  return it == mByCaller.end() ? 0 : it->second.size();
}

void
CallerTurns::push(const AdmissionRequest& aRequest)
{
  auto& queue = mByCaller[aRequest.caller];
  if (queue.empty()) {
    mRoundRobin.push_back(aRequest.caller);
  }
  queue.push_back(aRequest);
  ++mSize;
}

std::optional<AdmissionRequest>
CallerTurns::pop()
{
  if (mRoundRobin.empty()) {
    return std::nullopt;
  }
  const auto caller = mRoundRobin.front();
  mRoundRobin.pop_front();
  auto& queue = mByCaller[caller];
  const auto request = queue.front();
  queue.pop_front();
  --mSize;
  if (queue.empty()) {
    mByCaller.erase(caller);
  } else {
    mRoundRobin.push_back(caller);
  }
  return request;
}

bool
CallerTurns::remove(std::uint64_t aCall, std::uint64_t aCaller)
{
  const auto it = mByCaller.find(aCaller);
  if (it == mByCaller.end()) {
    return false;
  }
  const auto n = std::erase_if(it->second, [aCall](const AdmissionRequest& aRequest) {
    return aRequest.call == aCall;
  });
  mSize -= n;
  eraseCallerIfEmpty(aCaller);
  return n > 0;
}

std::optional<AdmissionRequest>
CallerTurns::popNewestOfLargestCaller()
{
  const auto it = std::max_element(
    mByCaller.begin(), mByCaller.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.size() < aRight.second.size();
    });
  if (it == mByCaller.end()) {
    return std::nullopt;
  }
  const auto request = it->second.back();
  it->second.pop_back();
  --mSize;
  eraseCallerIfEmpty(request.caller);
  return request;
}

std::size_t
CallerTurns::maxCallerSize() const
{
  std::size_t n = 0;
  for (const auto& [caller, queue] : mByCaller) {
    n = std::max(n, queue.size());
  }
  return n;
}

void
CallerTurns::eraseCallerIfEmpty(std::uint64_t aCaller)
{
  const auto it = mByCaller.find(aCaller);
  if (it != mByCaller.end() && it->second.empty()) {
    mByCaller.erase(it);
    std::erase(mRoundRobin, aCaller);
  }
}

} // namespace masticwall
