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
 * The orders that one entry process has claimed, with their recorded answers. The
 * answer's type is the front end's own. Not thread-safe.
 *
 * A record moves from Claiming to Sent or NotRun, and from Sent to Answered or Unknown;
 * only an upstream's sign that it did not run the order takes it back to Claiming. A
 * record that ended as NotRun frees its key, but stays to be found by its claim.
 */
template<class Answer>
class OrderLedger
{
public:
  /** `aMostAnswerBytes`: recorded answers beyond it are given up, oldest first. */
  explicit OrderLedger(std::size_t aMostAnswerBytes)
    : mMostAnswerBytes(aMostAnswerBytes)
  {
  }

  using Waiter = std::uint64_t;

  struct Record
  {
    ClaimId claim;
    Digest key;
    Digest request;
    OrderState state = OrderState::Claiming;
    std::shared_ptr<const Answer> answer;
    std::size_t answerBytes = 0;
    Instant begunAt;
    std::vector<Waiter> waiters; ///< to be told when the record is settled
  };

  /** The record that holds `aKey`, or nothing. Valid until the next call. */
  Record* findKey(const Digest& aKey)
  {
    const auto it = mByKey.find(aKey);
    return it == mByKey.end() ? nullptr : findClaim(it->second);
  }

  Record* findClaim(std::uint64_t aSequence)
  {
    const auto it = mBySequence.find(aSequence);
    return it == mBySequence.end() ? nullptr : &it->second;
  }

  /** Begins an order whose key is free. */
  Record& begin(const ClaimId& aClaim,
                const Digest& aKey,
                const Digest& aRequest,
                Instant aNow)
  {
    mByKey[aKey] = aClaim.sequence;
    mAges.push_back(aClaim.sequence);
    auto& record = mBySequence[aClaim.sequence];
    record = { aClaim, aKey, aRequest, OrderState::Claiming, nullptr, 0, aNow, {} };
    return record;
  }

  /** Claiming to Sent; false if the record is gone or not Claiming. */
  bool markSent(std::uint64_t aSequence)
  {
    auto* const record = findClaim(aSequence);
    if (record == nullptr || record->state != OrderState::Claiming) {
      return false;
    }
    record->state = OrderState::Sent;
    return true;
  }

  /** Sent back to Claiming: the upstream said that it did not run the order. */
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
   * Settles an unsettled record; returns the waiters to be told. `aAnswerBytes` is what
   * the answer holds in memory.
   */
  std::vector<Waiter> settle(std::uint64_t aSequence,
                             OrderState aState,
                             std::shared_ptr<const Answer> aAnswer,
                             std::size_t aAnswerBytes)
  {
    auto* const record = findClaim(aSequence);
    if (record == nullptr || isSettled(record->state)) {
      return {};
    }
    record->state = aState;
    if (aState == OrderState::NotRun) {
      freeKey(*record);
    }
    auto waiters = std::exchange(record->waiters, {});
    if (aAnswer != nullptr) {
      record->answer = std::move(aAnswer);
      record->answerBytes = aAnswerBytes;
      mAnswers.push_back(aSequence);
      mAnswerBytes += aAnswerBytes;
      giveUpOldAnswers();
    }
    return waiters;
  }

  /**
   * Forgets an order that this process does not run and knows no outcome of; returns
   * the waiters to be told.
   */
  std::vector<Waiter> abandon(std::uint64_t aSequence)
  {
    auto* const record = findClaim(aSequence);
    if (record == nullptr) {
      return {};
    }
    auto waiters = std::move(record->waiters);
    freeKey(*record);
    mBySequence.erase(aSequence);
    return waiters;
  }

  /** Forgets settled records begun before `aBefore`. */
  void forget(Instant aBefore)
  {
    while (!mAges.empty()) {
      auto* const record = findClaim(mAges.front());
      if (record != nullptr) {
        if (record->begunAt >= aBefore || !isSettled(record->state)) {
          return;
        }
        freeKey(*record);
        mAnswerBytes -= record->answerBytes;
        mBySequence.erase(mAges.front());
      }
      mAges.pop_front();
    }
  }

  std::size_t size() const { return mBySequence.size(); }

private:
  /** An order whose answer is given up has run, but nobody can tell its answer. */
  void giveUpOldAnswers()
  {
    while (mAnswerBytes > mMostAnswerBytes && !mAnswers.empty()) {
      auto* const record = findClaim(mAnswers.front());
      mAnswers.pop_front();
      if (record != nullptr && record->answer != nullptr) {
        mAnswerBytes -= record->answerBytes;
        record->answerBytes = 0;
        record->answer.reset();
        record->state = OrderState::Unknown;
      }
    }
  }

  void freeKey(const Record& aRecord)
  {
    const auto it = mByKey.find(aRecord.key);
    if (it != mByKey.end() && it->second == aRecord.claim.sequence) {
      mByKey.erase(it);
    }
  }

  std::unordered_map<std::uint64_t, Record> mBySequence;
  std::unordered_map<Digest, std::uint64_t> mByKey;
  std::deque<std::uint64_t> mAges;    ///< sequences, oldest first
  std::deque<std::uint64_t> mAnswers; ///< those with an answer, oldest first
  std::size_t mAnswerBytes = 0;
  std::size_t mMostAnswerBytes;
};

} // namespace masticwall
