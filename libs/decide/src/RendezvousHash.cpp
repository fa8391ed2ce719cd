#include <decide/RendezvousHash.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace masticwall {

namespace {

std::uint64_t
hashOf(std::string_view aKey, std::string_view aNode)
{
  const auto seed = XXH3_64bits(aNode.data(), aNode.size());
  return XXH3_64bits_withSeed(aKey.data(), aKey.size(), seed);
}

} // namespace

std::size_t
rendezvousOwner(std::string_view aKey, const std::vector<std::string_view>& aNodes)
{
  std::size_t owner = 0;
  std::uint64_t highest = 0;
  for (std::size_t i = 0; i < aNodes.size(); ++i) {
    const auto hash = hashOf(aKey, aNodes[i]);
    if (hash >= highest) {
      highest = hash;
      owner = i;
    }
  }
  return owner;
}

} // namespace masticwall
