#pragma once

#include <core/ClaimId.h>
#include <core/Digest.h>
#include <core/Time.h>
#include <decide/OrderState.h>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace masticwall {

/**
 * The state and recorded response of each order (a non-idempotent call with an
 * idempotency key) that one entry process has claimed. `Response` is the front end's
 * type. Not thread-safe.
 *
 * State transitions: Claiming to Sent or NotRun, and Sent to Answered or Unknown. If
 * another process holds the key, Claiming goes to Answered or NotRun by its report. Sent
 * returns to Claiming only if the upstream states that it did not run the order. A record
 * that ends as NotRun releases its key, but can still be found by its claim.
 */
template<class Response>
class OrderLedger
{
public:
  /** Evicts the oldest responses beyond `aMaxResponseBytes` of memory. */
  explicit OrderLedger(std::size_t aMaxResponseBytes)
    : mMaxResponseBytes(aMaxResponseBytes)
  {
  }

  /** Id, chosen by the user of this class, of a call or peer request that waits. */
  using Waiter = std::uint64_t;

  struct Record
  {
    ClaimId claim;
    Digest key;
    Digest request;
    OrderState state = OrderState::Claiming;
    std::shared_ptr<const Response>
      response; ///< null if there is none, or it was evicted
    std::size_t responseBytes = 0;
    Instant createdAt;
    std::vector<Waiter> waiters; ///< to be notified when the record is settled
  };

  /** The record that holds `aKey`, or null. The pointer is valid until the next call. */
  Record* findKey(const Digest& aKey)
  {
    const auto it = mByKey.find(aKey);
    return it == mByKey.end() ? nullptr : findClaim(it->second);
  }

  /** The record of the claim with this sequence number, or null; valid likewise. */
  Record* findClaim(std::uint64_t aSequence)
  {
    const auto it = mBySequence.find(aSequence);
    return it == mBySequence.end() ? nullptr : &it->second;
  }

  /** Adds a record in state Claiming. No other record may hold `aKey`. */
  Record& add(const ClaimId& aClaim,
              const Digest& aKey,
              const Digest& aRequest,
              Instant aNow)
  {
    mByKey[aKey] = aClaim.sequence;
    mCreationOrder.push_back(aClaim.sequence);
    auto& record = mBySequence[aClaim.sequence];
    record = { aClaim, aKey, aRequest, OrderState::Claiming, nullptr, 0, aNow, {} };
    return record;
  }

  /** Changes Claiming to Sent; false if there is no such record or it is not Claiming. */
  bool markSent(std::uint64_t aSequence)
  {
    auto* const record = findClaim(aSequence);
    if (record == nullptr || record->state != OrderState::Claiming) {
      return false;
    }
    record->state = OrderState::Sent;
    return true;
  }

  /**
   * Changes Sent to Claiming, if the upstream states that it did not run the order; false
   * if there is no such record or it is not Sent.
   */
  bool markNotSent(std::uint64_t aSequence)
  {
    auto* const record = findClaim(aSequence);
    if (record == nullptr || record->state != OrderState::Sent) {
      return false;
    }
    record->state = OrderState::Claiming;
    return true;
  }

  /**
   * Moves an unsettled record to the final state `aState`, and returns the waiters to be
   * notified. `aResponseBytes` is the memory that the response occupies.
   */
  std::vector<Waiter> settle(std::uint64_t aSequence,
                             OrderState aState,
                             std::shared_ptr<const Response> aResponse,
                             std::size_t aResponseBytes)
  {
    auto* const record = findClaim(aSequence);
    if (record == nullptr || isSettled(record->state)) {
      return {};
    }
    record->state = aState;
    if (aState == OrderState::NotRun) {
      releaseKey(*record);
    }
    auto waiters = std::exchange(record->waiters, {});
    if (aResponse != nullptr) {
      record->response = std::move(aResponse);
      record->responseBytes = aResponseBytes;
      mWithResponse.push_back(aSequence);
      mResponseBytes += aResponseBytes;
      evictOldResponses();
    }
    return waiters;
  }

  /**
   * Removes the record of an order that another process runs and whose outcome is not
   * known here; returns the waiters to be notified.
   */
  std::vector<Waiter> remove(std::uint64_t aSequence)
  {
    auto* const record = findClaim(aSequence);
    if (record == nullptr) {
      return {};
    }
    auto waiters = std::move(record->waiters);
    releaseKey(*record);
    mBySequence.erase(aSequence);
    return waiters;
  }

  /**
   * Removes settled records created before `aBefore`, oldest first, up to the first
   * record that is newer or unsettled.
   */
  void removeSettled(Instant aBefore)
  {
    while (!mCreationOrder.empty()) {
      auto* const record = findClaim(mCreationOrder.front());
      if (record != nullptr) {
        if (record->createdAt >= aBefore || !isSettled(record->state)) {
          return;
        }
        releaseKey(*record);
        mResponseBytes -= record->responseBytes;
        mBySequence.erase(mCreationOrder.front());
      }
      mCreationOrder.pop_front();
    }
  }

  std::size_t size() const { return mBySequence.size(); }

private:
  /** An order whose response is evicted has run, so its state becomes Unknown. */
  void evictOldResponses()
  {
    while (mResponseBytes > mMaxResponseBytes && !mWithResponse.empty()) {
      auto* const record = findClaim(mWithResponse.front());
      mWithResponse.pop_front();
      if (record != nullptr && record->response != nullptr) {
        mResponseBytes -= record->responseBytes;
        record->responseBytes = 0;
        record->response.reset();
        record->state = OrderState::Unknown;
      }
    }
  }

  void releaseKey(const Record& aRecord)
  {
    const auto it = mByKey.find(aRecord.key);
    if (it != mByKey.end() && it->second == aRecord.claim.sequence) {
      mByKey.erase(it);
    }
  }

  std::unordered_map<std::uint64_t, Record> mBySequence;
  std::unordered_map<Digest, std::uint64_t> mByKey;
  std::deque<std::uint64_t> mCreationOrder; ///< sequence numbers, oldest first
  std::deque<std::uint64_t> mWithResponse;  ///< those with a response, oldest first
  std::size_t mResponseBytes = 0;
  std::size_t mMaxResponseBytes;
};

} // namespace masticwall
