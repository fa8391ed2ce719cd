#pragma once

#include <core/Result.h>
#include <core/Time.h>
#include <decide/Claim.h>
#include <decide/ClaimVerdict.h>
#include <decide/PermitGrant.h>
#include <decide/PermitRequest.h>
#include <decide/QuotaDecisions.h>
#include <decide/UpstreamAddress.h>
#include <functional>
#include <messages/Feed.h>
#include <messages/OrderReport.h>

namespace masticwall {

/**
 * The functions through which an entry process uses the control plane and other entry
 * processes; its owner provides them. They are called on the main thread and call back
 * there later. A function that is not set is not available in this kind of process.
 */
struct ControlPlane
{
  using ClaimCallback = std::function<void(const ClaimVerdict&)>;
  using ReportCallback = std::function<void(const Result<OrderReport>&)>;

  /** Claims an order's key; calls back once, by `aDeadline`. */
  std::function<void(const Claim&, Instant aDeadline, ClaimCallback)> claim;

  /** Releases the claim of an order that was not run. */
  std::function<void(const ClaimId&)> release;

  /** Asks the entry process that claimed an order for its state; calls back once, by
   * `aDeadline`. The error of a failed query is a CallError. */
  std::function<void(const ClaimId&, Instant aDeadline, ReportCallback)> queryOrder;

  /** Sends the report of a settled order to the entry process that waits for it. */
  std::function<void(std::uint64_t aWaiter, const OrderReport&)> sendOrderReport;

  /** Reports that an instance of a VM (an upstream or this one) is draining. */
  std::function<void(const std::string& aVm, const std::string& aInstance)> reportLeaving;

  /** Reports a request that crashed an upstream to the other VMs. Calls back once, when
   * the caller may get its response: after the other VMs have the report or can't be
   * reached, or at once if the owner does not wait for them. */
  std::function<void(const SuspectCount&, std::function<void()>)> reportSuspect;

  using PermitCallback = std::function<void(const PermitGrant&)>;

  /** Requests permits for an upstream with a request limit; calls back once. */
  std::function<void(const UpstreamAddress&, const PermitRequest&, PermitCallback)>
    requestPermits;

  using QuotaCallback = std::function<void(const QuotaDecisions&)>;

  /** Requests what the calls of a tenant with a quota need; calls back when some of them
   * need not wait any more. */
  std::function<void(const std::string& aTenant, QuotaCallback)> requestQuota;

  /** Asks another VM for a newer preset, and takes it; calls back once, when it is in the
   * table, or there is none, or another VM was asked a moment ago. */
  std::function<void(std::function<void()>)> catchUp;

  /** Whether presets and membership are kept up to date: the control process that feeds
   * them can be reached, or the source has been read recently. */
  std::function<bool()> isConnected;

  /** The time since the configuration source was last read. */
  std::function<Duration()> sourceAge;
};

} // namespace masticwall
