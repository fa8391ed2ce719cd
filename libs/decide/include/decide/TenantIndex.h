#pragma once

#include <cstddef>
#include <cstdint>
#include <decide/Tenant.h>
#include <decide/TenantKeyProblem.h>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace masticwall {

/**
 * Hash index of tenants by their keys. It holds digests of the keys and where they stand
 * in the list of tenants, no copies of them. The time of a look-up depends neither on the
 * number of keys nor on how much of a known key the sought one has right. Thread-safe
 * once built.
 *
 * A key that two tenants have names none of them: the upstream would take the calls of
 * one for the other's.
 */
class TenantIndex
{
public:
  TenantIndex() = default;
  explicit TenantIndex(const std::vector<Tenant>& aTenants);

  /** The position of the tenant that has `aKey`; `aTenants` is the indexed list. */
  std::optional<std::size_t> find(const std::vector<Tenant>& aTenants,
                                  std::string_view aKey) const;

  /** What is wrong with the keys in the list. */
  const std::vector<TenantKeyProblem>& problems() const { return mProblems; }

  /** Distinct keys, with those that two tenants have. */
  std::size_t size() const { return mEntries.size(); }

  /** Distinct digests; as many as keys: a look-up compares one key at most. */
  std::size_t digestCount() const;

private:
  struct Entry
  {
    std::uint32_t tenant = 0;
    std::uint32_t key = 0; ///< among those of the tenant
    bool isShared = false;
  };

  void addKey(const std::vector<Tenant>& aTenants, std::size_t aTenant, std::size_t aKey);
  const Entry* findEntry(const std::vector<Tenant>& aTenants,
                         std::string_view aKey) const;

  std::unordered_multimap<std::uint64_t, Entry> mEntries; ///< by digest
  std::vector<TenantKeyProblem> mProblems;
  std::size_t mLongestKey = 0; ///< in bytes
};

} // namespace masticwall
