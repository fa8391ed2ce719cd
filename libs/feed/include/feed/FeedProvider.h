#pragma once

#include <concepts>
#include <messages/Feed.h>

namespace masticwall {

/**
 * Provides the data that a FeedServer serves. A client's request states the versions
 * that the client has.
 */
template<class P>
concept FeedProvider = requires(const P aProvider, const FeedRequest& aHave)
{
  /** True if there is anything newer than `aHave`. */
  {
    aProvider.hasUpdates(aHave)
    } -> std::same_as<bool>;

  /** The parts that are newer than `aHave`. */
  {
    aProvider.makeFeed(aHave)
    } -> std::same_as<Feed>;
};

} // namespace masticwall
