#include <catch2/catch.hpp>
#include <core/OrderedMutex.h>
#include <vector>

using namespace masticwall;

namespace {

std::vector<LockLevel> sViolations;

void
recordViolation(LockLevel aLevel)
{
  sViolations.push_back(aLevel);
}

/** Records lock order violations instead of aborting, for the lifetime of the object. */
class ViolationRecorder
{
public:
  ViolationRecorder()
    : mPrevious(setLockOrderViolationHandler(recordViolation))
  {
    sViolations.clear();
  }
  ~ViolationRecorder() { setLockOrderViolationHandler(mPrevious); }

private:
  LockOrderViolationHandler mPrevious;
};

} // namespace

TEST_CASE("locks acquired in ascending order of level pass the check")
{
  ViolationRecorder recorder;
  OrderedMutex preset(LockLevel::Preset);
  OrderedMutex upstream(LockLevel::Upstream);
  {
    std::scoped_lock outer(preset);
    std::scoped_lock inner(upstream);
  }
  CHECK(sViolations.empty());
}

TEST_CASE("a lock acquired out of order is reported")
{
  ViolationRecorder recorder;
  OrderedMutex preset(LockLevel::Preset);
  OrderedMutex upstream(LockLevel::Upstream);
  std::scoped_lock outer(upstream);
  std::scoped_lock inner(preset);
  REQUIRE(sViolations.size() == 1);
  CHECK(sViolations.front() == LockLevel::Preset);
}

TEST_CASE("two locks of the same level held at once are reported")
{
  ViolationRecorder recorder;
  OrderedMutex first(LockLevel::Order);
  OrderedMutex second(LockLevel::Order);
  std::scoped_lock outer(first);
  std::scoped_lock inner(second);
  CHECK(sViolations.size() == 1);
}
