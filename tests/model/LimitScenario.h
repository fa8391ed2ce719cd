#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall::model {

/** Which VMs have calls for the limited upstream, and which reach each other. */
enum class LimitScenario : std::uint8_t
{
  Steady,      ///< all VMs, unevenly
  Lull,        ///< none for ten seconds, then all at once
  TwoVms,      ///< two VMs have all calls
  HalfNew,     ///< half of the VMs start in the middle, without credit
  HalfGone,    ///< half of the VMs are killed in the middle, and stay listed
  HalfWithout, ///< half of the VMs reach no other VM
};

} // namespace masticwall::model

template<>
struct masticwall::EnumTable<masticwall::model::LimitScenario>
{
  using LimitScenario = masticwall::model::LimitScenario;
  static constexpr std::array<EnumName<LimitScenario>, 6> kEntries{ {
    { LimitScenario::Steady, "steady" },
    { LimitScenario::Lull, "lull" },
    { LimitScenario::TwoVms, "two-vms" },
    { LimitScenario::HalfNew, "half-new" },
    { LimitScenario::HalfGone, "half-gone" },
    { LimitScenario::HalfWithout, "half-without-peers" },
  } };
};
