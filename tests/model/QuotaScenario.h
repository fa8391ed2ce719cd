#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall::model {

/** What a tenant sends, and what happens to the VMs. All but Usual and Flood5 send more
 * than the quota for some time. */
enum class QuotaScenario : std::uint8_t
{
  Usual,         ///< two thirds of the quota, unevenly over all VMs
  Full,          ///< half as much again as the quota
  OneVm,         ///< the same, to one VM
  Flood5,        ///< five times the usual third of the quota, from the middle on
  Flood20,       ///< twenty times
  IssuerDies,    ///< in the middle, and stays listed
  IssuerReturns, ///< dies and is started again after 4 s
  IssuerFreezes, ///< for 3 s, twice
  HalfNew,       ///< half of the VMs start in the middle and are listed within 2 s
  SomeCut,       ///< a tenth of the VMs and the issuer are cut off, one by one, for 8 s
  Lossy,         ///< one message in fifty is lost
  Lowered,       ///< to a fifth of the quota
};

} // namespace masticwall::model

template<>
struct masticwall::EnumTable<masticwall::model::QuotaScenario>
{
  using QuotaScenario = masticwall::model::QuotaScenario;
  static constexpr std::array<EnumName<QuotaScenario>, 12> kEntries{ {
    { QuotaScenario::Usual, "usual" },
    { QuotaScenario::Full, "full" },
    { QuotaScenario::OneVm, "one-vm" },
    { QuotaScenario::Flood5, "flood-5" },
    { QuotaScenario::Flood20, "flood-20" },
    { QuotaScenario::IssuerDies, "issuer-dies" },
    { QuotaScenario::IssuerReturns, "issuer-returns" },
    { QuotaScenario::IssuerFreezes, "issuer-freezes" },
    { QuotaScenario::HalfNew, "half-new" },
    { QuotaScenario::SomeCut, "some-cut" },
    { QuotaScenario::Lossy, "lossy" },
    { QuotaScenario::Lowered, "lowered" },
  } };
};
