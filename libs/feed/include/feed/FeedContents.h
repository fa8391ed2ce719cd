#pragma once

#include <concepts>
#include <messages/Feed.h>

namespace masticwall {

/** What a feed tells: whether there is news for who has `aHave`, and the news. */
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
