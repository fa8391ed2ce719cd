#pragma once

#include <core/Time.h>
#include <optional>

namespace masticwall {

/**
 * Whether any upstream of a service takes requests now. If none does, a call can't be
 * served and is refused at once.
 */
struct ServiceAvailability
{
  bool isAvailable = false;
  /** If not available: when the first upstream may take requests again that is held off
   * or has no permit left. Empty if all upstreams leave or are evacuated, or none is
   * listed. */
  std::optional<Instant> nextAt;
  bool isLimited = false; ///< if not available: an upstream takes requests by permit only
  bool isEvacuated = false; ///< if not available: an upstream that doesn't leave is
};

} // namespace masticwall
