#pragma once

#include <core/EnumNames.h>

namespace masticwall {

/** What the check of a call's key has found; the names stand in logs and metrics. */
enum class KeyVerdict
{
  NotNeeded, ///< calls of the route or preset need no key, and none is known
  Known,     ///< the key names a tenant
  Missing,   ///< refused: the call carries no key
  Malformed, ///< refused: the call's credentials hold no key
  Repeated,  ///< refused: the call carries credentials more than once
  Unknown,   ///< refused: no tenant has the key
  Stale,     ///< refused: what this VM knows of the keys is too old to tell
};

template<>
struct EnumTable<KeyVerdict>
{
  static constexpr std::array<EnumName<KeyVerdict>, 7> kEntries{ {
    { KeyVerdict::NotNeeded, "not-needed" },
    { KeyVerdict::Known, "known" },
    { KeyVerdict::Missing, "missing" },
    { KeyVerdict::Malformed, "malformed" },
    { KeyVerdict::Repeated, "repeated" },
    { KeyVerdict::Unknown, "unknown" },
    { KeyVerdict::Stale, "stale" },
  } };
};

} // namespace masticwall
