#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace masticwall {

/**
 * Rendezvous (highest random weight) hashing: returns the index of the node that owns
 * `aKey`, which is the one with the highest hash of node and key. Adding or removing a
 * node moves only the keys that this node owns. `aNodes` must not be empty.
 */
std::size_t
rendezvousOwner(std::string_view aKey, const std::vector<std::string_view>& aNodes);

} // namespace masticwall
