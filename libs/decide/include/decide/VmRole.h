#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall {

/** What runs on a VM of the platform's list. */
enum class VmRole : std::uint8_t
{
  Masticwall,
  Upstream,
};

template<>
struct EnumTable<VmRole>
{
  static constexpr std::array<EnumName<VmRole>, 2> kEntries{ {
    { VmRole::Masticwall, "masticwall" },
    { VmRole::Upstream, "upstream" },
  } };
};

} // namespace masticwall
