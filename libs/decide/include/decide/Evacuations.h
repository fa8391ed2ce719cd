#pragma once

#include <core/Time.h>
#include <decide/DataCentreNames.h>
#include <decide/Evacuation.h>
#include <map>
#include <optional>
#include <vector>

namespace masticwall {

/**
 * The data centres that are evacuated: nothing new is sent to the upstreams there.
 * Merges the lists that this VM reads from the source with those that its peers have
 * read. Not thread-safe.
 *
 * The load that this answers: an operator empties a data centre under full load, while
 * VMs restart, lose links and learn of it at different times. The times of reads on other
 * VMs are known with an error of up to kMaxTransit, so a list ends an evacuation only if
 * it was certainly read after the last one that had it. To begin one, it need only seem
 * newer than what is known: at worst, a data centre is evacuated for a moment longer.
 *
 * After the source has come back from an older copy, an evacuation that is missing there
 * may just have been lost. It is kept for kKeptAfterRestore, in which the operator can
 * write it anew; it ends earlier only if it is listed again and then taken back.
 */
class Evacuations
{
public:
  /** Upper bound of what messages add to the stated age of a read, over all feeds between
   * this VM and the reading one. */
  static constexpr Duration kMaxTransit = std::chrono::milliseconds(1000);

  /** For operators to see that it was lost, and to write it anew. */
  static constexpr Duration kKeptAfterRestore = std::chrono::minutes(5);

  /** A list with all evacuated data centres was read from the source at `aReadAt`, by
   * this VM or by another. */
  void merge(const std::vector<Evacuation>& aList, Instant aReadAt, Instant aNow);

  /** The source has come back from an older copy. */
  void onRestored(Instant aNow);

  /** True once any list is known. */
  bool isKnown() const { return mReadAt.has_value(); }

  /** The data centres that are evacuated now. */
  DataCentreNames current(Instant aNow) const;

  /** Those of them that the source does not list, but that are kept. Empty just after it
   * has come back, until lists that were certainly read since have arrived. */
  DataCentreNames kept(Instant aNow) const;

  /** What to tell other VMs, whose clocks differ. */
  std::vector<Evacuation> list(Instant aNow) const;

private:
  struct State
  {
    Instant listedAt;                 ///< read time of the newest list that has it
    std::optional<Instant> keptUntil; ///< not listed since the source was restored
  };

  void addListed(const std::string& aDataCentre, Instant aReadAt);
  void addKept(const Evacuation& aEvacuation, Instant aNow);

  std::map<std::string, State> mStates; ///< by data centre
  std::optional<Instant> mReadAt;       ///< of the newest list
  std::optional<Instant> mRestoredAt;
};

} // namespace masticwall
