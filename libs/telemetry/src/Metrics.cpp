#include <core/OrderedMutex.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <set>
#include <telemetry/Metrics.h>

namespace masticwall {

namespace {

/**
 * Limit on distinct `route` values and, separately, `service` values. Bounds the series
 * to about 4 MB of memory.
 */
constexpr std::size_t kMaxLabelValues = 256;

/**
 * Upper bounds of the histogram buckets in seconds. Latency targets and timeouts lie
 * between 0.1 and 8 s.
 */
const prometheus::Histogram::BucketBoundaries kBucketBounds{ 0.001, 0.005, 0.02, 0.05,
                                                             0.1,   0.2,   0.4,  0.8,
                                                             1.6,   4.0 };

double
toSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/** Limit on distinct `tenant` values while the process runs; at a time, there are fewer.
 */
constexpr std::size_t kMaxTenantValues = 64;

/** Limits the number of distinct values of a label. Thread-safe. */
class LabelLimit
{
public:
  explicit LabelLimit(std::size_t aMaxValues)
    : mMaxValues(aMaxValues)
  {
  }

  /** `aName` if it is known or the limit is not reached, else "other". */
  std::string valueFor(const std::string& aName)
  {
    std::scoped_lock lock(mMutex);
    if (mValues.count(aName) == 0 && mValues.size() >= mMaxValues) {
      return "other";
    }
    return *mValues.insert(aName).first;
  }

private:
  OrderedMutex mMutex{ LockLevel::Statistics };
  std::size_t mMaxValues;
  std::set<std::string> mValues;
};

} // namespace

struct Metrics::Impl
{
  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>& calls =
    prometheus::BuildCounter()
      .Name("masticwall_calls_total")
      .Help("Calls that have ended, by rank and result.")
      .Register(registry);
  prometheus::Family<prometheus::Counter>& serviceCalls =
    prometheus::BuildCounter()
      .Name("masticwall_service_calls_total")
      .Help("Calls that have ended, by service and outcome.")
      .Register(registry);
  prometheus::Family<prometheus::Histogram>& callSeconds =
    prometheus::BuildHistogram()
      .Name("masticwall_call_seconds")
      .Help("Time of calls by route: until sent, at the upstream, in all.")
      .Register(registry);
  prometheus::Family<prometheus::Counter>& tenantCalls =
    prometheus::BuildCounter()
      .Name("masticwall_tenant_calls_total")
      .Help("Calls that have ended, by tenant and outcome; the smaller tenants together.")
      .Register(registry);
  LabelLimit routes{ kMaxLabelValues };
  LabelLimit services{ kMaxLabelValues };
  LabelLimit tenants{ kMaxTenantValues };

  void observe(const std::string& aRoute, const char* aStage, Duration aDuration)
  {
    callSeconds.Add({ { "route", aRoute }, { "stage", aStage } }, kBucketBounds)
      .Observe(toSeconds(aDuration));
  }
};

Metrics::Metrics()
  : mImpl(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

void
Metrics::add(const EndedCall& aCall)
{
  const std::string rank(nameOf(aCall.rank));
  const std::string outcome(nameOf(aCall.outcome));
  mImpl->calls.Add({ { "rank", rank }, { "result", aCall.result() } }).Increment();
  const auto service = mImpl->services.valueFor(aCall.service);
  mImpl->serviceCalls.Add({ { "service", service }, { "outcome", outcome } }).Increment();
  if (!aCall.tenant.empty()) {
    const auto tenant = mImpl->tenants.valueFor(aCall.tenant);
    mImpl->tenantCalls.Add({ { "tenant", tenant }, { "outcome", outcome } }).Increment();
  }
  const auto route = mImpl->routes.valueFor(aCall.route);
  mImpl->observe(route, "total", aCall.totalTime);
  if (aCall.queueTime.has_value()) {
    mImpl->observe(route, "queue", *aCall.queueTime);
  }
  if (aCall.upstreamTime.has_value()) {
    mImpl->observe(route, "upstream", *aCall.upstreamTime);
  }
}

void
Metrics::count(Counter aCounter, const std::string& aResult)
{
  prometheus::BuildCounter()
    .Name(std::string(nameOf(aCounter)))
    .Register(mImpl->registry)
    .Add({ { "result", aResult } })
    .Increment();
}

void
Metrics::set(Gauge aGauge, double aValue)
{
  prometheus::BuildGauge()
    .Name(std::string(nameOf(aGauge)))
    .Register(mImpl->registry)
    .Add({})
    .Set(aValue);
}

std::string
Metrics::toText() const
{
  return prometheus::TextSerializer().Serialize(mImpl->registry.Collect());
}

} // namespace masticwall
