#include <decide/HoldOffs.h>

namespace masticwall {

Instant
HoldOffs::until(const UpstreamAddress& aUpstream) const
{
  if (mUntil.empty()) {
    return Instant{};
  }
  const auto it = mUntil.find({ aUpstream.name, aUpstream.instance });
  return it == mUntil.end() ? Instant{} : it->second;
}

void
HoldOffs::removeEnded(Instant aNow)
{
  std::erase_if(mUntil, [aNow](const auto& aEntry) { return aEntry.second <= aNow; });
}

} // namespace masticwall
