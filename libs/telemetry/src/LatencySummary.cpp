#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <telemetry/LatencySummary.h>

namespace masticwall {

namespace acc = boost::accumulators;

namespace {

constexpr std::array<double, 3> kQuantiles{ 0.5, 0.99, 0.999 };

// Indexes into kQuantiles.
constexpr std::size_t kMedianIndex = 0;
constexpr std::size_t kP99Index = 1;
constexpr std::size_t kP999Index = 2;

} // namespace

struct LatencySummary::Accumulator
{
  acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::extended_p_square>>
    set{ acc::tag::extended_p_square::probabilities = kQuantiles };

  /** `aIndex` is an index into kQuantiles. */
  Duration quantile(std::size_t aIndex) const
  {
    if (acc::count(set) == 0) {
      return Duration{ 0 };
    }
    return Duration(static_cast<std::int64_t>(
      acc::extended_p_square(set)[static_cast<std::ptrdiff_t>(aIndex)]));
  }
};

LatencySummary::LatencySummary()
  : mAccumulator(std::make_unique<Accumulator>())
{
}

LatencySummary::~LatencySummary() = default;
LatencySummary::LatencySummary(LatencySummary&&) noexcept = default;
LatencySummary&
LatencySummary::operator=(LatencySummary&&) noexcept = default;

void
LatencySummary::add(Duration aDuration)
{
  mAccumulator->set(static_cast<double>(aDuration.count()));
}

std::uint64_t
LatencySummary::count() const
{
  return acc::count(mAccumulator->set);
}

Duration
LatencySummary::median() const
{
  return mAccumulator->quantile(kMedianIndex);
}

Duration
LatencySummary::p99() const
{
  return mAccumulator->quantile(kP99Index);
}

Duration
LatencySummary::p999() const
{
  return mAccumulator->quantile(kP999Index);
}

} // namespace masticwall
