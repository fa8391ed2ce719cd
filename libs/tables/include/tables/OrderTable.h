#pragma once

#include <core/OrderedMutex.h>
#include <decide/OrderLedger.h>

namespace masticwall {

/** What an order's key leads to when it arrives. */
enum class OrderEntry : std::uint8_t
{
  Begun,    ///< the key was free: a claim is to be made
  Joined,   ///< the same order runs here: its waiter will be told
  Recorded, ///< the same order has ended here
  KeyReused,
};

template<>
struct EnumTable<OrderEntry>
{
  static constexpr std::array<EnumName<OrderEntry>, 4> kEntries{ {
    { OrderEntry::Begun, "begun" },
    { OrderEntry::Joined, "joined" },
    { OrderEntry::Recorded, "recorded" },
    { OrderEntry::KeyReused, "key-reused" },
  } };
};

/**
 * The orders claimed by this process, shared by its workers. Thread-safe; lock level
 * Order. The claim's state changes only here, so that two workers never both send it.
 */
template<class Answer>
class OrderTable
{
public:
  using Ledger = OrderLedger<Answer>;
  using Waiter = typename Ledger::Waiter;

  /** The standing of an order at one moment. */
  struct View
  {
    OrderState state = OrderState::Unknown;
    std::shared_ptr<const Answer> answer;
  };

  struct Arrival
  {
    OrderEntry entry = OrderEntry::Begun;
    View view;
  };

  explicit OrderTable(std::size_t aMostAnswerBytes)
    : mLedger(aMostAnswerBytes)
  {
  }

  Arrival arrive(const ClaimId& aClaim,
                 const Digest& aKey,
                 const Digest& aRequest,
                 Waiter aWaiter,
                 Instant aNow)
  {
    std::scoped_lock lock(mMutex);
    auto* const record = mLedger.findKey(aKey);
    if (record == nullptr) {
      mLedger.begin(aClaim, aKey, aRequest, aNow);
      return { OrderEntry::Begun, {} };
    }
    if (record->request != aRequest) {
      return { OrderEntry::KeyReused, {} };
    }
    if (isSettled(record->state)) {
      return { OrderEntry::Recorded, { record->state, record->answer } };
    }
    record->waiters.push_back(aWaiter);
    return { OrderEntry::Joined, { record->state, nullptr } };
  }

  /**
   * Looks a claim up for a peer; an unsettled one is joined by `aWaiter`. Nothing if
   * the claim is not known (any more).
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
    return View{ record->state, record->answer };
  }

  bool markSent(std::uint64_t aSequence)
  {
    std::scoped_lock lock(mMutex);
    return mLedger.markSent(aSequence);
  }

  bool markNotSent(std::uint64_t aSequence)
  {
    std::scoped_lock lock(mMutex);
    return mLedger.markNotSent(aSequence);
  }

  std::vector<Waiter> settle(std::uint64_t aSequence,
                             OrderState aState,
                             std::shared_ptr<const Answer> aAnswer,
                             std::size_t aAnswerBytes)
  {
    std::scoped_lock lock(mMutex);
    return mLedger.settle(aSequence, aState, std::move(aAnswer), aAnswerBytes);
  }

  std::vector<Waiter> abandon(std::uint64_t aSequence)
  {
    std::scoped_lock lock(mMutex);
    return mLedger.abandon(aSequence);
  }

  void forget(Instant aBefore)
  {
    std::scoped_lock lock(mMutex);
    mLedger.forget(aBefore);
  }

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
