#pragma once

#include <core/Bytes.h>
#include <cstddef>
#include <decide/ChoicePolicy.h>

namespace masticwall {

/** Limits that a preset sets for every entry process. */
struct Limits
{
  std::size_t maxHeaderBytes = 16 * kKiB;
  std::size_t maxBodyBytes = kMiB;
  int connectionsPerUpstream = 15; ///< of one entry process, over all its workers
  std::size_t queueLength = 200;   ///< waiting calls of one rank and service
  double overcommit = 1.25;        ///< in-flight limit over the even share of slots
  double retryBudget = 0.1;        ///< retries as a share of calls
  ChoicePolicy choice = ChoicePolicy::AgedLoad;
};

} // namespace masticwall
