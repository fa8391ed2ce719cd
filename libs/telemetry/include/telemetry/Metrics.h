#pragma once

#include <memory>
#include <string>
#include <telemetry/Counter.h>
#include <telemetry/EndedCall.h>
#include <telemetry/Gauge.h>

namespace masticwall {

/**
 * Counters, gauges and latency histograms of a process in Prometheus format. The number
 * of time series of calls is bounded: routes, services and tenants beyond a limit share
 * the label value "other". Thread-safe.
 */
class Metrics
{
public:
  Metrics();
  ~Metrics();

  /** Counts a call that has ended and records its durations. */
  void add(const EndedCall& aCall);

  /** Increments `aCounter` for `result="aResult"`. Distinct results are not limited. */
  void count(Counter aCounter, const std::string& aResult);

  void set(Gauge aGauge, double aValue);

  /** All metrics in the Prometheus text format. */
  std::string toText() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace masticwall
