#pragma once

#include <core/Time.h>
#include <string>

namespace masticwall::test {

/** A caller's request, and what became of it as the caller saw it. */
struct SoakRequest
{
  std::string id;
  bool isOrder = false;
  int gateway = 0;
  Instant sentAt;
  Instant endedAt;
  int status = 0;             ///< 0: the connection ended without an answer
  bool isOwn = false;         ///< a success with this request's id and body
  bool isBroken = false;      ///< bytes came that are no answer
  bool isBehindClose = false; ///< sent behind an answer that closes the connection
  bool wasGivenUp = false;    ///< the caller left
};

} // namespace masticwall::test
