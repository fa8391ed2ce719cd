#pragma once

#include <core/Result.h>
#include <core/Time.h>
#include <decide/Claim.h>
#include <decide/ClaimVerdict.h>
#include <functional>
#include <messages/Feed.h>
#include <messages/OrderReport.h>

namespace masticwall {

/**
 * What an entry process asks of the rest of the system. All is called on the main thread
 * and answers there, later; where a function is not set, there is nobody to ask.
 */
struct Backplane
{
  using Verdict = std::function<void(const ClaimVerdict&)>;
  using Report = std::function<void(const Result<OrderReport>&)>;

  /** Asks for the claim on an order's key; calls back once, by `aDeadline`. */
  std::function<void(const Claim&, Instant aDeadline, Verdict)> claim;

  /** Gives a claim back whose order was not run. */
  std::function<void(const ClaimId&)> release;

  /** Asks the claimant what became of an order; calls back by `aDeadline`. */
  std::function<void(const ClaimId&, Instant aDeadline, Report)> askClaimant;

  /** An order that another process waits for is settled. */
  std::function<void(std::uint64_t aWaiter, const OrderReport&)> tellSettled;

  /** A VM (an upstream or this one) said that it leaves. */
  std::function<void(const std::string& aVm, const std::string& aInstance)> reportLeaving;

  /** Tells the other VMs of a suspect; calls back once they know or can't be told. */
  std::function<void(const Suspect&, std::function<void()>)> reportSuspect;

  std::function<bool()> isConnected;

  /** How long ago the source of the configuration was read. */
  std::function<Duration()> sourceAge;
};

} // namespace masticwall
