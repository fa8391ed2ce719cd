#pragma once

#include <core/EnumNames.h>

namespace masticwall {

/** What is wrong with the keys of a tenant in the configuration. */
enum class TenantKeyFault
{
  Shared, ///< another tenant has the key as well: it names none of them
  Empty,  ///< a key without a character, which is ignored
  None,   ///< the tenant has no key: it can make no call that needs one
};

template<>
struct EnumTable<TenantKeyFault>
{
  static constexpr std::array<EnumName<TenantKeyFault>, 3> kEntries{ {
    { TenantKeyFault::Shared, "shared" },
    { TenantKeyFault::Empty, "empty" },
    { TenantKeyFault::None, "none" },
  } };
};

} // namespace masticwall
