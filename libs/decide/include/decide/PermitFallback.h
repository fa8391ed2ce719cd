#pragma once

#include <core/RandomSource.h>
#include <decide/PermitGrant.h>
#include <decide/PermitRequest.h>
#include <map>
#include <utility>

namespace masticwall {

/**
 * Grants permits to this VM alone, as long as no issuer replies to it. Not thread-safe.
 *
 * The load that this answers: VMs that reach upstreams but no other VM. Their number is
 * unknown, so they use a small part of the limit: its share for one VM, of which a
 * fraction becomes a whole permit with the same probability. So the shares of many VMs
 * add up to that part, and nothing is saved up in a lull.
 */
class PermitFallback
{
public:
  /** `aVms`: the listed masticwall VMs. */
  template<RandomSource R>
  PermitGrant grant(const PermitRequest& aRequest, int aVms, Instant aNow, R& aRandom)
  {
    const auto expected = takeShare(aRequest, aVms, aNow);
    std::uniform_real_distribution<double> fraction(0.0, 1.0);
    const auto permits = static_cast<int>(expected + fraction(aRandom));
    return { permits, kRequestPeriod };
  }

  /** Forgets upstreams for which nothing was requested lately. */
  void removeUnused(Instant aNow);

private:
  static constexpr Duration kRequestPeriod = std::chrono::milliseconds(500);

  /** This VM's share since its last request, in permits, maybe below one. */
  double takeShare(const PermitRequest& aRequest, int aVms, Instant aNow);

  /** When each instance's share was taken last, by name and instance. */
  std::map<std::pair<std::string, std::string>, Instant> mTakenAt;
};

} // namespace masticwall
