#include <catch2/catch.hpp>
#include <decide/WarmUpPolicy.h>
#include <limits>

using namespace masticwall;

namespace {

double
rateFor(double aWarmUpPerSecond, const WarmUpTolerance& aTolerance)
{
  Service service;
  service.warmUpPerSecond = aWarmUpPerSecond;
  return WarmUpPolicy::of(service, aTolerance).perSecond;
}

} // namespace

TEST_CASE("permits are issued at the rate that upstreams bear, if two VMs may do so")
{
  const WarmUpTolerance usual{ .over = 1.5, .slack = 8.0 };
  CHECK(rateFor(3.0, usual) == 3.0);
  CHECK(rateFor(8.2, usual) == Approx(20.3 / 2.0 / 1.25));
  CHECK(rateFor(40.0, usual) == Approx(68.0 / 2.0 / 1.25));
  CHECK(rateFor(40.0, { .over = 3.0, .slack = 0.0 }) == 40.0);
}

TEST_CASE("without tolerance a part of the rate is issued")
{
  CHECK(rateFor(40.0, {}) == Approx(16.0));
  CHECK(rateFor(1.0, {}) == Approx(0.1));
  CHECK(rateFor(8.0, { .over = 0.0, .slack = 0.0 }) == Approx(0.8));
}

TEST_CASE("without a rate, or with one that is none, cold upstreams are not limited")
{
  for (const auto it : { 0.0, -3.0, std::numeric_limits<double>::quiet_NaN() }) {
    Service service;
    service.warmUpPerSecond = it;
    CHECK_FALSE(WarmUpPolicy::of(service, { 1.5, 8.0 }).isLimiting());
  }
}
