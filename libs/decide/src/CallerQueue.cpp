#include <algorithm>
#include <decide/CallerQueue.h>

namespace masticwall {

std::size_t
CallerQueue::sizeOf(std::uint64_t aCaller) const
{
  const auto it = mByCaller.find(aCaller);
  return it == mByCaller.end() ? 0 : it->second.size();
}

void
CallerQueue::push(const Ticket& aTicket)
{
  auto& queue = mByCaller[aTicket.caller];
  if (queue.empty()) {
    mTurns.push_back(aTicket.caller);
  }
  queue.push_back(aTicket);
  ++mSize;
}

std::optional<Ticket>
CallerQueue::pop()
{
  if (mTurns.empty()) {
    return std::nullopt;
  }
  const auto caller = mTurns.front();
  mTurns.pop_front();
  auto& queue = mByCaller[caller];
  const auto ticket = queue.front();
  queue.pop_front();
  --mSize;
  if (queue.empty()) {
    mByCaller.erase(caller);
  } else {
    mTurns.push_back(caller);
  }
  return ticket;
}

bool
CallerQueue::remove(std::uint64_t aCall, std::uint64_t aCaller)
{
  const auto it = mByCaller.find(aCaller);
  if (it == mByCaller.end()) {
    return false;
  }
  const auto n = std::erase_if(
    it->second, [aCall](const Ticket& aTicket) { return aTicket.call == aCall; });
  mSize -= n;
  dropIfEmpty(aCaller);
  return n > 0;
}

std::optional<Ticket>
CallerQueue::popNewestOfLongest()
{
  const auto it = std::max_element(
    mByCaller.begin(), mByCaller.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.size() < aRight.second.size();
    });
  if (it == mByCaller.end()) {
    return std::nullopt;
  }
  const auto ticket = it->second.back();
  it->second.pop_back();
  --mSize;
  dropIfEmpty(ticket.caller);
  return ticket;
}

std::size_t
CallerQueue::longest() const
{
  std::size_t n = 0;
  for (const auto& [caller, queue] : mByCaller) {
    n = std::max(n, queue.size());
  }
  return n;
}

void
CallerQueue::dropIfEmpty(std::uint64_t aCaller)
{
  const auto it = mByCaller.find(aCaller);
  if (it != mByCaller.end() && it->second.empty()) {
    mByCaller.erase(it);
    std::erase(mTurns, aCaller);
  }
}

} // namespace masticwall
