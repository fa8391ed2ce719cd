#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall {

/** Whether a call has a permit of its tenant's quota. */
enum class QuotaVerdict : std::uint8_t
{
  Granted,
  Waiting, ///< for the reply of the tenant's issuer
  Refused, ///< the quota is used up
};

template<>
struct EnumTable<QuotaVerdict>
{
  static constexpr std::array<EnumName<QuotaVerdict>, 3> kEntries{ {
    { QuotaVerdict::Granted, "granted" },
    { QuotaVerdict::Waiting, "waiting" },
    { QuotaVerdict::Refused, "refused" },
  } };
};

} // namespace masticwall
