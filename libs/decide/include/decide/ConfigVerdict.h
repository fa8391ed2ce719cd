#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall {

/** The result of replaying a configuration record; the same at every reader. */
enum class ConfigVerdict : std::uint8_t
{
  Accepted,
  StaleBase, ///< rejected: a concurrent record replaced the base version first
  Invalid,   ///< rejected: the resulting preset would be invalid
  Known,     ///< skipped: already applied, or older than the present state
};

template<>
struct EnumTable<ConfigVerdict>
{
  static constexpr std::array<EnumName<ConfigVerdict>, 4> kEntries{ {
    { ConfigVerdict::Accepted, "accepted" },
    { ConfigVerdict::StaleBase, "stale-base" },
    { ConfigVerdict::Invalid, "invalid" },
    { ConfigVerdict::Known, "known" },
  } };
};

} // namespace masticwall
