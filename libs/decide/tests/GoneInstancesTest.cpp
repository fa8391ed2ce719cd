#include "ManualClock.h"
#include <catch2/catch.hpp>
#include <decide/GoneInstances.h>

using namespace masticwall;
using namespace masticwall::test;

namespace {

Vm
upstream(const std::string& aName, const std::string& aInstance = "1")
{
  Vm vm;
  vm.name = aName;
  vm.instance = aInstance;
  return vm;
}

std::size_t
believed(const GoneInstances& aGone, VmList aVms, Instant aNow)
{
  aGone.removeStale(aVms, aNow);
  return aVms.size();
}

} // namespace

TEST_CASE("an instance that was gone before an older copy came back is not believed")
{
  ManualClock clock;
  GoneInstances gone;
  const VmList list{ upstream("a") };
  gone.onListChange(list, {}, clock.now());
  CHECK(believed(gone, list, clock.now()) == 1); // nothing is wrong with the source
  clock.advance(1s);
  gone.onRestored(clock.now());
  CHECK(believed(gone, list, clock.now()) == 0);
  CHECK(believed(gone, { upstream("a", "2") }, clock.now()) == 1);
  CHECK(believed(gone, { upstream("b") }, clock.now()) == 1);
  clock.advance(7s); // the source has dropped the entries of silent upstreams
  CHECK(believed(gone, list, clock.now()) == 1);
}

TEST_CASE("an instance that is gone after an older copy came back may be listed again")
{
  ManualClock clock;
  GoneInstances gone;
  const VmList list{ upstream("a") };
  gone.onRestored(clock.now());
  clock.advance(1s);
  gone.onListChange(list, {}, clock.now());
  CHECK(believed(gone, list, clock.now()) == 1);
}

TEST_CASE("an instance that was listed again in between is believed")
{
  ManualClock clock;
  GoneInstances gone;
  const VmList list{ upstream("a") };
  gone.onListChange(list, {}, clock.now());
  gone.onListChange({}, list, clock.now());
  clock.advance(1s);
  gone.onRestored(clock.now());
  CHECK(believed(gone, list, clock.now()) == 1);
}
