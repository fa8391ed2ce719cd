#include <algorithm>
#include <decide/TenantIndex.h>
#include <functional>

namespace masticwall {

namespace {

std::uint64_t
digestOf(std::string_view aKey)
{
  return std::hash<std::string_view>()(aKey);
}

/** Compares two secrets in a time that depends on their lengths only. */
bool
isSameSecret(std::string_view aLeft, std::string_view aRight)
{
  if (aLeft.size() != aRight.size()) {
    return false;
  }
  volatile unsigned char difference = 0; // volatile: no early end by the compiler
  for (std::size_t i = 0; i < aLeft.size(); ++i) {
    const auto bits =
      static_cast<unsigned char>(aLeft[i]) ^ static_cast<unsigned char>(aRight[i]);
    difference = static_cast<unsigned char>(difference | bits);
  }
  return difference == 0;
}

} // namespace

TenantIndex::TenantIndex(const std::vector<Tenant>& aTenants)
{
  for (std::size_t i = 0; i < aTenants.size(); ++i) {
    if (aTenants[i].keys.empty()) {
      mProblems.push_back({ TenantKeyFault::None, i, i });
    }
    for (std::size_t k = 0; k < aTenants[i].keys.size(); ++k) {
      addKey(aTenants, i, k);
    }
  }
}

void
TenantIndex::addKey(const std::vector<Tenant>& aTenants,
                    std::size_t aTenant,
                    std::size_t aKey)
{
  const auto& key = aTenants[aTenant].keys[aKey];
  if (key.empty()) {
    mProblems.push_back({ TenantKeyFault::Empty, aTenant, aTenant });
    return;
  }
  const auto digest = digestOf(key);
  const auto [begin, end] = mEntries.equal_range(digest);
  const auto same = std::find_if(begin, end, [&](const auto& aEntry) {
    const auto& entry = aEntry.second;
    return isSameSecret(aTenants[entry.tenant].keys[entry.key], key);
  });
  if (same == end) {
    mEntries.emplace(
      digest,
      Entry{ static_cast<std::uint32_t>(aTenant), static_cast<std::uint32_t>(aKey) });
    mLongestKey = std::max(mLongestKey, key.size());
    return;
  }
  auto& entry = same->second;
  if (aTenants[entry.tenant].name != aTenants[aTenant].name) {
    entry.isShared = true;
    mProblems.push_back({ TenantKeyFault::Shared, aTenant, entry.tenant });
  }
}

std::optional<std::size_t>
TenantIndex::find(const std::vector<Tenant>& aTenants, std::string_view aKey) const
{
  const auto* const entry = findEntry(aTenants, aKey);
  return entry == nullptr || entry->isShared ? std::nullopt
                                             : std::optional<std::size_t>(entry->tenant);
}

const TenantIndex::Entry*
TenantIndex::findEntry(const std::vector<Tenant>& aTenants, std::string_view aKey) const
{
  if (aKey.size() > mLongestKey) {
    return nullptr;
  }
  const auto [begin, end] = mEntries.equal_range(digestOf(aKey));
  for (auto it = begin; it != end; ++it) {
    const auto& entry = it->second;
    if (isSameSecret(aTenants[entry.tenant].keys[entry.key], aKey)) {
      return &entry;
    }
  }
  return nullptr;
}

std::size_t
TenantIndex::digestCount() const
{
  std::size_t n = 0;
  for (auto it = mEntries.begin(); it != mEntries.end();
       it = mEntries.equal_range(it->first).second) {
    ++n;
  }
  return n;
}

} // namespace masticwall
