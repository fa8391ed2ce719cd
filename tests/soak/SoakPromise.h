#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall::test {

/** What must hold throughout a soak. */
enum class SoakPromise : std::uint8_t
{
  RunsAtMostOnce,      ///< an order
  NotRunIsTrue,        ///< an order whose answer promises that has not run
  OwnWholeAnswer,      ///< each success is the request's own, and whole
  RetriesWithinBudget, ///< over all gateways
  NothingAfterLeaving, ///< no request reaches an upstream long after it left
  NothingWhileHeldOff, ///< nor one that asked for a pause
  ConfigNeverBack,     ///< in one process, an older version is not in force again
  StopCutsNothing,     ///< no request that runs is cut by a planned stop
  GatewaysLive,        ///< no gateway ends by itself
  ServedAgain,         ///< after the last fault
};

} // namespace masticwall::test

template<>
struct masticwall::EnumTable<masticwall::test::SoakPromise>
{
  using SoakPromise = masticwall::test::SoakPromise;
  static constexpr std::array<EnumName<SoakPromise>, 10> kEntries{ {
    { SoakPromise::RunsAtMostOnce, "runs-at-most-once" },
    { SoakPromise::NotRunIsTrue, "not-run-is-true" },
    { SoakPromise::OwnWholeAnswer, "own-whole-answer" },
    { SoakPromise::RetriesWithinBudget, "retries-within-budget" },
    { SoakPromise::NothingAfterLeaving, "nothing-after-leaving" },
    { SoakPromise::NothingWhileHeldOff, "nothing-while-held-off" },
    { SoakPromise::ConfigNeverBack, "config-never-back" },
    { SoakPromise::StopCutsNothing, "stop-cuts-nothing" },
    { SoakPromise::GatewaysLive, "gateways-live" },
    { SoakPromise::ServedAgain, "served-again" },
  } };
};
