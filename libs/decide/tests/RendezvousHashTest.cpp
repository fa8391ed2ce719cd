#include <catch2/catch.hpp>
#include <decide/RendezvousHash.h>
#include <string>

using namespace masticwall;

TEST_CASE("removing a node moves only the keys that it owned")
{
  const std::vector<std::string_view> all{ "a", "b", "c", "d" };
  const std::vector<std::string_view> fewer{ "a", "b", "c" };
  int moved = 0;
  for (int i = 0; i < 200; ++i) {
    const auto key = "key-" + std::to_string(i);
    const auto before = all[rendezvousOwner(key, all)];
    const auto after = fewer[rendezvousOwner(key, fewer)];
    if (before != "d") {
      CHECK(before == after);
    } else {
      ++moved;
    }
  }
  // One of four nodes owns about 50 of the 200 keys.
  CHECK(moved > 20);
  CHECK(moved < 100);
}
