#pragma once

#include <atomic>
#include <settings/ControlSettings.h>
#include <settings/PresetSectionsValidator.h>
#include <tables/ClaimTable.h>
#include <tables/ConfigTable.h>
#include <tables/MembershipTable.h>
#include <tables/PresetTable.h>
#include <tables/SuspectTable.h>

namespace masticwall {

/** The tables and flags that the threads of a control process share. */
struct ControlTables
{
  explicit ControlTables(const ControlSettings& aSettings)
    : settings(aSettings)
    , claims(aSettings.common.orderWindowMs)
  {
  }

  const ControlSettings settings;
  PresetTable presets;
  MembershipTable membership;
  ConfigTable<PresetSectionsValidator> config{ PresetSectionsValidator{} };
  ClaimTable claims;
  SuspectTable suspects;
  std::atomic<bool> isLeaving{ false };
  std::atomic<bool> isConfigRead{ false };   ///< the head of the stream was reached once
  std::atomic<bool> areClaimsReady{ false }; ///< no claim of the order window is missing
  /** Whether the last read of the configuration stream succeeded. */
  std::atomic<bool> isLogReachable{ false };
  std::atomic<std::uint64_t> probes{ 0 };  ///< health requests sent so far
  std::atomic<std::uint64_t> appends{ 0 }; ///< appends sent so far
  /** The sum of claims without a verdict, releases to send and appends in flight. */
  std::atomic<std::size_t> unsettledClaims{ 0 };
};

} // namespace masticwall
