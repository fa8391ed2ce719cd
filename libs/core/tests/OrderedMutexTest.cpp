#include <catch2/catch.hpp>
#include <core/OrderedMutex.h>
#include <vector>

using namespace masticwall;

namespace {

std::vector<LockLevel> sViolations;

void
recordViolation(LockLevel aWanted)
{
  sViolations.push_back(aWanted);
}

/** Records violations instead of ending the process, for the life of the object. */
class RecordedViolations
{
public:
  RecordedViolations()
    : mPrevious(setLockOrderHandler(recordViolation))
  {
    sViolations.clear();
  }
  ~RecordedViolations() { setLockOrderHandler(mPrevious); }

private:
  LockOrderHandler mPrevious;
};

} // namespace

TEST_CASE("locks taken in the stated order pass the check")
{
  RecordedViolations violations;
  OrderedMutex preset(LockLevel::Preset);
  OrderedMutex upstream(LockLevel::Upstream);
  {
    std::scoped_lock outer(preset);
    std::scoped_lock inner(upstream);
  }
  CHECK(sViolations.empty());
}

TEST_CASE("a lock taken out of order is caught")
{
  RecordedViolations violations;
  OrderedMutex preset(LockLevel::Preset);
  OrderedMutex upstream(LockLevel::Upstream);
  std::scoped_lock outer(upstream);
  std::scoped_lock inner(preset);
  REQUIRE(sViolations.size() == 1);
  CHECK(sViolations.front() == LockLevel::Preset);
}

TEST_CASE("two locks of one level are caught")
{
  RecordedViolations violations;
  OrderedMutex first(LockLevel::Order);
  OrderedMutex second(LockLevel::Order);
  std::scoped_lock outer(first);
  std::scoped_lock inner(second);
  CHECK(sViolations.size() == 1);
}
