#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall {

/** Which end of an HTTP/2 connection a session is. */
enum class Http2Side : std::uint8_t
{
  Client,
  Server,
};

template<>
struct EnumTable<Http2Side>
{
  static constexpr std::array<EnumName<Http2Side>, 2> kEntries{ {
    { Http2Side::Client, "client" },
    { Http2Side::Server, "server" },
  } };
};

} // namespace masticwall
