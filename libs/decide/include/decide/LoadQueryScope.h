#pragma once

#include <cstddef>
#include <decide/Limits.h>

namespace masticwall {

/**
 * How many of the likeliest upstreams are looked at before a call is sent: at least
 * `upstreams`, and as many as have `slots` slots together.
 *
 * The load that this answers: upstreams with few slots, of which a third is slow at any
 * moment. One or two calls fill such an upstream, so that of a handful often none has a
 * free slot on a fast host, while most others do.
 */
struct LoadQueryScope
{
  std::size_t upstreams = 1;
  int slots = 0;

  /**
   * The scope of a call's `aRound`th round of queries, from 0. The first looks at the
   * likeliest choices; later ones only at the best, which the replies may have changed.
   */
  static LoadQueryScope ofRound(const Limits& aLimits, int aRound)
  {
    return aRound == 0 ? LoadQueryScope{ static_cast<std::size_t>(aLimits.loadQueries),
                                         aLimits.loadQuerySlots }
                       : LoadQueryScope{};
  }
};

} // namespace masticwall
