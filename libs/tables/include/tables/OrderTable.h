#pragma once

#include <core/OrderedMutex.h>
#include <decide/OrderLedger.h>
#include <tables/OrderKeyStatus.h>

namespace masticwall {

/**
 * The orders that this process has claimed, shared by its workers. All state changes of
 * an order go through this table, so that two workers never both send it. An order is
 * identified by its idempotency key, or by the sequence number of its claim. Thread-safe;
 * lock level Order.
 */
template<class Response>
class OrderTable
{
public:
  using Ledger = OrderLedger<Response>;
  using Waiter = typename Ledger::Waiter;

  /** The state of an order at the time of the call. */
  struct View
  {
    OrderState state = OrderState::Unknown;
    std::shared_ptr<const Response> response; ///< null if none is recorded
  };

  /** The result of arrive(). */
  struct Arrival
  {
    OrderKeyStatus entry = OrderKeyStatus::NewKey;
    View view; ///< default for NewKey and KeyReused
  };

  /** Recorded responses beyond `aMaxResponseBytes` are dropped, oldest first. */
  explicit OrderTable(std::size_t aMaxResponseBytes)
    : mLedger(aMaxResponseBytes)
  {
  }

  /**
   * Looks up the key of an arriving order. If the key is new, records the order under
   * `aClaim`. If the same order is in progress, adds `aWaiter` to it; an order is the
   * same if the digest `aRequest` of the request is equal.
   */
  Arrival arrive(const ClaimId& aClaim,
                 const Digest& aKey,
                 const Digest& aRequest,
                 Waiter aWaiter,
                 Instant aNow)
  {
    std::scoped_lock lock(mMutex);
    auto* const record = mLedger.findKey(aKey);
    if (record == nullptr) {
      mLedger.add(aClaim, aKey, aRequest, aNow);
      return { OrderKeyStatus::NewKey, {} };
    }
    if (record->request != aRequest) {
      return { OrderKeyStatus::KeyReused, {} };
    }
    if (isSettled(record->state)) {
      return { OrderKeyStatus::Recorded, { record->state, record->response } };
    }
    record->waiters.push_back(aWaiter);
    return { OrderKeyStatus::Joined, { record->state, nullptr } };
  }

  /**
   * Looks up a claim for a peer; if it is not settled, adds `aWaiter` to it. Returns
   * std::nullopt if the claim is unknown or has been removed.
   */
  std::optional<View> watch(std::uint64_t aSequence, Waiter aWaiter)
  {
    std::scoped_lock lock(mMutex);
    auto* const record = mLedger.findClaim(aSequence);
    if (record == nullptr) {
      return std::nullopt;
    }
    if (!isSettled(record->state)) {
      record->waiters.push_back(aWaiter);
    }
    return View{ record->state, record->response };
  }

  /** Moves an order from Claiming to Sent; false if it is in another state or unknown. */
  bool markSent(std::uint64_t aSequence)
  {
    std::scoped_lock lock(mMutex);
    return mLedger.markSent(aSequence);
  }

  /**
   * Moves an order that the upstream did not run from Sent back to Claiming; false if it
   * is in another state or unknown.
   */
  bool markNotSent(std::uint64_t aSequence)
  {
    std::scoped_lock lock(mMutex);
    return mLedger.markNotSent(aSequence);
  }

  /**
   * Moves an order to a final state; returns the waiters to notify, none if it was
   * settled before. `aResponseBytes` is the memory that the response uses.
   */
  std::vector<Waiter> settle(std::uint64_t aSequence,
                             OrderState aState,
                             std::shared_ptr<const Response> aResponse,
                             std::size_t aResponseBytes)
  {
    std::scoped_lock lock(mMutex);
    return mLedger.settle(aSequence, aState, std::move(aResponse), aResponseBytes);
  }

  /**
   * Removes an order that this process does not run and whose outcome it does not know;
   * returns the waiters to notify.
   */
  std::vector<Waiter> remove(std::uint64_t aSequence)
  {
    std::scoped_lock lock(mMutex);
    return mLedger.remove(aSequence);
  }

  /** Removes settled orders that began before `aBefore`. */
  void removeSettled(Instant aBefore)
  {
    std::scoped_lock lock(mMutex);
    mLedger.removeSettled(aBefore);
  }

  /** The number of orders, settled ones included. */
  std::size_t size() const
  {
    std::scoped_lock lock(mMutex);
    return mLedger.size();
  }

private:
  mutable OrderedMutex mMutex{ LockLevel::Order };
  Ledger mLedger;
};

} // namespace masticwall
