#pragma once

#include <cstdint>

namespace masticwall {

/** Identifies the load query that a reply belongs to, to recognise late replies. */
struct LoadQueryId
{
  std::uint64_t call = 0;
  int attempts = 0; ///< Call::attempts when the query was sent
  int round = 0;    ///< Call::loadQueryRounds then

  bool operator==(const LoadQueryId&) const = default;
};

} // namespace masticwall
