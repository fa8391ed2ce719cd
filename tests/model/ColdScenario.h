#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall::model {

/** What happens while an upstream is cold. */
enum class ColdScenario : std::uint8_t
{
  Steady,        ///< nothing
  Restart,       ///< half of the VMs are killed, and are back a second later
  Freeze,        ///< half of the VMs stop for three seconds, with calls on their way
  IssuerKilled,  ///< the VM that issues permits is gone for good, and stays listed
  IssuerFrozen,  ///< it stops for three seconds
  IssuerDivided, ///< half of the VMs no longer reach it, the others do
  Alone,         ///< half of the VMs reach no other VM
};

} // namespace masticwall::model

template<>
struct masticwall::EnumTable<masticwall::model::ColdScenario>
{
  using ColdScenario = masticwall::model::ColdScenario;
  static constexpr std::array<EnumName<ColdScenario>, 7> kEntries{ {
    { ColdScenario::Steady, "steady" },
    { ColdScenario::Restart, "restart" },
    { ColdScenario::Freeze, "freeze" },
    { ColdScenario::IssuerKilled, "issuer-killed" },
    { ColdScenario::IssuerFrozen, "issuer-frozen" },
    { ColdScenario::IssuerDivided, "issuer-divided" },
    { ColdScenario::Alone, "alone" },
  } };
};
