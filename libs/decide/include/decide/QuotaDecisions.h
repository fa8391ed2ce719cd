#pragma once

#include <cstdint>
#include <vector>

namespace masticwall {

/** The calls that need not wait for permits any more, by their ids. */
struct QuotaDecisions
{
  std::vector<std::uint64_t> granted;
  std::vector<std::uint64_t> refused;
};

} // namespace masticwall
