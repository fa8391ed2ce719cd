#pragma once

#include <core/Rank.h>
#include <core/Time.h>

namespace masticwall {

/** The properties of a call that admission control uses. */
struct AdmissionRequest
{
  std::uint64_t call = 0; ///< call id, unique in the process
  std::uint64_t caller =
    0; ///< hash of the caller, for fair queueing within a rank and tenant
  std::uint32_t worker = 0; ///< index of the worker that runs the call
  Rank rank = Rank::Standard;
  Instant deadline;
  Instant arrivedAt;
  /** Hash of the tenant's name, or of the caller if it has none; 0 if there are none. */
  std::uint64_t tenant = 0;
  double weight = 1.0; ///< of the tenant
};

} // namespace masticwall
