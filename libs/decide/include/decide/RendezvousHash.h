#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace masticwall {

/**
 * Which of `aNodes` is responsible for `aKey`: the one with the highest hash of both.
 * A node that joins or leaves moves only its own share. Returns an index; `aNodes` must
 * not be empty.
 */
std::size_t
rendezvousOwner(std::string_view aKey, const std::vector<std::string_view>& aNodes);

} // namespace masticwall
