#pragma once

#include <decide/UpstreamState.h>
#include <memory>
#include <vector>

namespace masticwall {

/** The upstreams of one service. Their addresses in memory stay the same while they are
 * listed. */
using UpstreamStates = std::vector<std::unique_ptr<UpstreamState>>;

} // namespace masticwall
