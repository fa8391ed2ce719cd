#pragma once

#include <cstdint>
#include <http/ByteBudget.h>
#include <memory>

namespace masticwall::http {

/**
 * The bytes of a budget that are set aside for the body of one request, from when its
 * length is known until nobody holds the request any more. Grown by one thread at a time;
 * may be dropped on any.
 */
class BodyReservation
{
public:
  explicit BodyReservation(std::shared_ptr<ByteBudget> aBudget)
    : mBudget(std::move(aBudget))
  {
  }
  ~BodyReservation() { mBudget->add(-mBytes); }
  BodyReservation(const BodyReservation&) = delete;
  BodyReservation& operator=(const BodyReservation&) = delete;

  /** Sets aside `aBytes` in all; false, and no change, if the budget has no room. */
  bool tryGrowTo(std::uint64_t aBytes);

private:
  std::shared_ptr<ByteBudget> mBudget;
  std::int64_t mBytes = 0;
};

} // namespace masticwall::http
