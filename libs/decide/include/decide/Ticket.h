#pragma once

#include <core/Rank.h>
#include <core/Time.h>

namespace masticwall {

/** A call as admission sees it. */
struct Ticket
{
  std::uint64_t call = 0;   ///< unique in the process
  std::uint64_t caller = 0; ///< stands for the caller, for fairness within a rank
  std::uint32_t worker = 0; ///< the worker that holds the call
  Rank rank = Rank::Standard;
  Instant deadline;
  Instant arrivedAt;
};

} // namespace masticwall
