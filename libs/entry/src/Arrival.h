#pragma once

#include <core/Time.h>
#include <entry/CallMetadata.h>
#include <http/Request.h>
#include <http/Responder.h>

namespace masticwall {

/** A request that has arrived and is not a call yet: its route and tenant are unknown. */
struct Arrival
{
  http::Request request;
  http::ResponderPtr responder;
  CallMetadata metadata;
  Instant at;
  bool hasWaited = false; ///< for a newer preset, as its key is unknown
};

} // namespace masticwall
