#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall {

/** What became of a configuration record; the same at every reader. */
enum class ConfigVerdict : std::uint8_t
{
  Accepted,
  StaleBase, ///< another record came first; nothing changed
  Invalid,   ///< it would make an invalid preset; nothing changed
  Known,     ///< already applied, or older than what is known
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
