#pragma once

#include <QByteArray>
#include <core/Result.h>
#include <cstdint>

namespace masticwall {

/**
 * Asks another process for a Feed with everything that changed since the given versions,
 * which the requester already has. It is a long poll: the reply is delayed until there is
 * an update. A request to paths::kConfigState sets only `version`.
 */
struct FeedRequest
{
  std::uint64_t version = 0; ///< of the active preset; kConfigState: of the configuration
  std::uint64_t revision = 0; ///< of the membership; 0: the process asked has sent none
  std::uint64_t readSequence = 0; ///< that of the last feed from the process asked

  /**
   * Whether the reply may be delayed until there is an update. If false, it comes at once
   * and contains only versions and the age.
   */
  bool mayWait = true;
};

QByteArray
encode(const FeedRequest& aRequest);

/** Fails with a MessageError. */
Result<FeedRequest>
decodeFeedRequest(const QByteArray& aBytes);

} // namespace masticwall
