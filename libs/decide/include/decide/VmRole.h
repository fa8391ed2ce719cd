#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall {

/** What a listed VM is. */
enum class VmRole : std::uint8_t
{
  Masticwall, ///< a load balancer of this system
  Upstream,   ///< a server that calls are sent to
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
