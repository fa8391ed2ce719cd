#pragma once

#include <concepts>
#include <messages/Feed.h>

namespace masticwall {

/**
 * The data that a FeedServer serves: whether it is newer than what a client has, as
 * stated by its request, and the parts that are.
 */
template<class C>
concept FeedProvider = requires(const C aContents, const FeedRequest& aHave)
{
  {
    aContents.hasUpdates(aHave)
    } -> std::same_as<bool>;
  {
    aContents.makeFeed(aHave)
    } -> std::same_as<Feed>;
};

} // namespace masticwall
