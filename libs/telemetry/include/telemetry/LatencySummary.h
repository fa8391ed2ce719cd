#pragma once

#include <core/Time.h>
#include <memory>

namespace masticwall {

/**
 * Estimates percentiles of a stream of durations in constant memory (extended P-square
 * algorithm). The percentiles are 0 while there are no durations. Not thread-safe.
 */
class LatencySummary
{
public:
  LatencySummary();
  ~LatencySummary();
  LatencySummary(LatencySummary&&) noexcept;
  LatencySummary& operator=(LatencySummary&&) noexcept;

  void add(Duration aDuration);
  std::uint64_t count() const;
  Duration median() const;
  Duration p99() const;
  Duration p999() const;

private:
  struct Accumulator;
  std::unique_ptr<Accumulator> mAccumulator;
};

} // namespace masticwall
