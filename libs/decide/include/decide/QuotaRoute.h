#pragma once

#include <core/EnumNames.h>
#include <cstdint>
#include <string>

namespace masticwall {

/** How a VM gets permits for a tenant. */
enum class QuotaSource : std::uint8_t
{
  Issuer, ///< by a request to another VM
  Own,    ///< this VM issues them
  Alone,  ///< no issuer replies: it uses its own small share
};

template<>
struct EnumTable<QuotaSource>
{
  static constexpr std::array<EnumName<QuotaSource>, 3> kEntries{ {
    { QuotaSource::Issuer, "issuer" },
    { QuotaSource::Own, "own" },
    { QuotaSource::Alone, "alone" },
  } };
};

/** Where a VM's request for permits goes. */
struct QuotaRoute
{
  QuotaSource source = QuotaSource::Alone;
  std::string issuer{}; ///< set if another VM is asked
  /** This VM could issue the permits as well: the one that is asked must not ask a third
   * one. */
  bool isRelayed = false;

  auto operator<=>(const QuotaRoute&) const = default;
};

} // namespace masticwall
