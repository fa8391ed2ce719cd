#pragma once

#include <memory>
#include <string>
#include <telemetry/Counter.h>
#include <telemetry/EndedCall.h>
#include <telemetry/Gauge.h>

namespace masticwall {

/**
 * Counters and latency histograms of a process, for its metrics page. Bounded: routes and
 * services beyond a limit count as "other". Thread-safe.
 */
class Metrics
{
public:
  Metrics();
  ~Metrics();

  void add(const EndedCall& aCall);
  void count(Counter aCounter, const std::string& aResult);
  void set(Gauge aGauge, double aValue);

  /** All of them in the Prometheus text format. */
  std::string toText() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace masticwall
