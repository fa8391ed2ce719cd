#pragma once

#include <cstdint>
#include <random>

namespace masticwall {

/** A random bit generator. Its owner seeds it: the same seed gives the same decisions. */
template<class R>
concept RandomSource = std::uniform_random_bit_generator<R>;

/** A uniformly distributed index in [0, aCount). `aCount` must not be 0. */
template<RandomSource R>
std::size_t
randomIndex(R& aRandom, std::size_t aCount)
{
  return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(aRandom);
}

} // namespace masticwall
