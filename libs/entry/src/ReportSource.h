#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall {

/** What kind of response an upstream's report came with. */
enum class ReportSource : std::uint8_t
{
  Response,  ///< to a call
  LoadQuery, ///< to a load query
};

template<>
struct EnumTable<ReportSource>
{
  static constexpr std::array<EnumName<ReportSource>, 2> kEntries{ {
    { ReportSource::Response, "answer" },
    { ReportSource::LoadQuery, "load-query" },
  } };
};

} // namespace masticwall
