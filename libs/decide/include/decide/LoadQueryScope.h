#pragma once

#include <cstddef>

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
};

} // namespace masticwall
