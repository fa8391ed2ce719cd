#pragma once

#include <QByteArray>
#include <core/Result.h>
#include <cstdint>

namespace masticwall {

/**
 * Asks another process for the updates since those that the sender has. It is a long
 * poll: the reply is delayed until there is an update.
 */
struct FeedRequest
{
  std::uint64_t version = 0;  ///< of the active preset
  std::uint64_t revision = 0; ///< of the membership; 0: none from this receiver
  std::uint64_t reading = 0;  ///< Feed::reading of the last feed from this receiver

  /** False: the reply comes at once, and contains only versions and ages. */
  bool mayWait = true;
};

QByteArray
encode(const FeedRequest& aRequest);

/** Fails with a MessageError. */
Result<FeedRequest>
decodeFeedRequest(const QByteArray& aBytes);

} // namespace masticwall
