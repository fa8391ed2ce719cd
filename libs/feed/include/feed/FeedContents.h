#pragma once

#include <concepts>
#include <messages/Feed.h>

namespace masticwall {

/**
 * The data that a FeedServer serves: whether it is newer than what a client has, as
 * stated by its request, and the parts that are.
 */
template<class C>
concept FeedContents = requires(const C aContents, const FeedRequest& aHave)
{
  {
    aContents.hasNews(aHave)
    } -> std::same_as<bool>;
  {
    aContents.newsFor(aHave)
    } -> std::same_as<Feed>;
};

} // namespace masticwall
