#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall {

/** Which end of an HTTP/2 connection a session is. */
enum class Http2Role : std::uint8_t
{
  Client,
  Server,
};

template<>
struct EnumTable<Http2Role>
{
  static constexpr std::array<EnumName<Http2Role>, 2> kEntries{ {
    { Http2Role::Client, "client" },
    { Http2Role::Server, "server" },
  } };
};

} // namespace masticwall
