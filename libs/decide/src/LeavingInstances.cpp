#include <decide/LeavingInstances.h>

namespace masticwall {

namespace {

/** Longer than any VM keeps a list that another VM might take over. */
constexpr Duration kForgetAfter = std::chrono::minutes(30);

} // namespace

bool
LeavingInstances::mark(const UpstreamAddress& aUpstream, Instant aNow)
{
  return mLastListedAt.insert({ { aUpstream.name, aUpstream.instance }, aNow }).second;
}

bool
LeavingInstances::contains(const UpstreamAddress& aUpstream) const
{
  return !mLastListedAt.empty() &&
         mLastListedAt.count({ aUpstream.name, aUpstream.instance }) > 0;
}

void
LeavingInstances::onListed(const std::vector<UpstreamAddress>& aListed, Instant aNow)
{
  if (mLastListedAt.empty()) {
    return;
  }
  for (const auto& it : aListed) {
    const auto mark = mLastListedAt.find({ it.name, it.instance });
    if (mark != mLastListedAt.end()) {
      mark->second = aNow;
    }
  }
  std::erase_if(mLastListedAt,
                [aNow](const auto& aMark) { return aNow - aMark.second > kForgetAfter; });
}

} // namespace masticwall
