#pragma once

#include <algorithm>
#include <core/RandomSource.h>
#include <core/Time.h>
#include <decide/UpstreamAddress.h>
#include <map>
#include <string>

namespace masticwall {

/**
 * Until when upstream instances want no requests from this process, as they said with a
 * refusal. A hold-off also outlasts a time in which the instance is not listed. Not
 * thread-safe.
 *
 * The load that this answers: an upstream under pressure that refuses the calls of
 * hundreds of VMs and asks each to stay away for a while. Nothing is sent to it before
 * that time is over; the VMs come back spread over a further part of it, as they would
 * fill the upstream again if all came in the same instant.
 */
class HoldOffs
{
public:
  /**
   * The instance wants nothing for `aDuration`. Returns when it may get requests again.
   * A hold-off is prolonged, but never cut short.
   */
  template<RandomSource R>
  Instant extend(const UpstreamAddress& aUpstream,
                 Duration aDuration,
                 Instant aNow,
                 R& aRandom)
  {
    const auto maxSpread = std::min(aDuration / kSpreadDivisor, kMaxSpread);
    std::uniform_int_distribution<Duration::rep> spread(0, maxSpread.count());
    auto& until = mUntil[{ aUpstream.name, aUpstream.instance }];
    if (until < aNow + aDuration) {
      until = aNow + aDuration + Duration(spread(aRandom));
    }
    return until;
  }

  /** When the instance may get requests; a time in the past if it is not held off. */
  Instant until(const UpstreamAddress& aUpstream) const;

  void removeEnded(Instant aNow);

private:
  /** The spread of the returns, as a part of the hold-off, and its upper limit. */
  static constexpr int kSpreadDivisor = 4;
  static constexpr Duration kMaxSpread = std::chrono::seconds(1);

  struct Key
  {
    std::string name;
    std::string instance;
    auto operator<=>(const Key&) const = default;
  };

  std::map<Key, Instant> mUntil;
};

} // namespace masticwall
