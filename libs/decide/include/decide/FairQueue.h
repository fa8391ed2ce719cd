#pragma once

#include <decide/CallerTurns.h>
#include <set>
#include <vector>

namespace masticwall {

/**
 * The waiting calls of one rank: start-time fair queueing between tenants by their
 * weights, and turns between the callers of a tenant. Without tenants callers take turns.
 * Not thread-safe.
 *
 * The load that this answers: a tenant that suddenly sends many times its usual, over any
 * number of connections and callers. The others' calls start about when they would
 * without it, and it gets what they leave.
 */
class FairQueue
{
public:
  std::size_t size() const { return mSize; }

  void push(const AdmissionRequest& aRequest);

  /** Removes and returns the first call of the next tenant; nothing if empty. */
  std::optional<AdmissionRequest> pop();

  /** Removes a call; false if it is not queued. */
  bool remove(const AdmissionRequest& aRequest);

  /**
   * Removes and returns the call that should give way to a new one: of a tenant the one
   * that would start last, if the new one would start before it; without tenants the
   * newest call of the caller with the most, if it has far more than the new call's.
   * Nothing if the new call has no better claim.
   */
  std::optional<AdmissionRequest> displaceFor(const AdmissionRequest& aRequest);

private:
  struct Group
  {
    CallerTurns calls;
    bool isTenant = false; ///< else of a caller without one
    double weight = 1.0;
    double startTag = 0.0;      ///< in calls for each weight
    std::uint64_t sequence = 0; ///< of groups with the same tag

    /** Of a call that is added. */
    double tagOfNext() const
    {
      return startTag + static_cast<double>(calls.size()) / weight;
    }
    double tagOfLast() const { return tagOfNext() - 1.0 / weight; }
  };

  struct Turn
  {
    double startTag = 0.0;
    std::uint64_t sequence = 0;
    std::uint64_t key = 0;
    auto operator<=>(const Turn&) const = default;
  };

  using Groups = std::unordered_map<std::uint64_t, Group>;

  static std::uint64_t keyOf(const AdmissionRequest& aRequest);
  static Turn turnOf(const Groups::value_type& aGroup);

  double firstTagOf(const AdmissionRequest& aRequest) const;

  std::optional<AdmissionRequest> displaceCaller(const AdmissionRequest& aRequest);
  std::optional<AdmissionRequest> displaceTenant(const AdmissionRequest& aRequest);
  std::optional<AdmissionRequest> removeNewest(Groups::iterator aGroup);

  /** To be called after calls of the group were removed. */
  void eraseIfEmpty(Groups::iterator aGroup);

  Groups mGroups;                                      ///< by tenant or caller
  std::set<Turn> mTurns;                               ///< of all groups
  std::unordered_map<std::uint64_t, double> mLastTags; ///< of tenants without calls
  double mVirtualTime = 0.0; ///< tag of the last call that started
  std::uint64_t mNextSequence = 0;
  std::size_t mSize = 0;
};

} // namespace masticwall
