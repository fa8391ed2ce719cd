#pragma once

#include <QByteArray>
#include <core/Result.h>
#include <decide/Evacuation.h>
#include <decide/MembershipDelta.h>
#include <map>
#include <messages/FeedRequest.h>
#include <messages/Suspect.h>
#include <optional>
#include <string>
#include <vector>

namespace masticwall {

/**
 * The reply to a FeedRequest: the preset if its version is newer than the requester's,
 * and the membership if its revision differs. The other parts are empty. VMs are sent as
 * a whole list, or as the changes since the requester's revision.
 */
struct Feed
{
  std::uint64_t version = 0; ///< of the active preset
  std::string preset;        ///< its name; empty if not newer, or from a gateway process
  std::map<std::string, std::string> sections; ///< of the preset, by name
  bool isSectionsDelta = false; ///< `sections` has only those newer than the requester's
  std::uint64_t revision = 0;   ///< of the membership
  VmList vms;                   ///< empty if unchanged
  bool isVmsDelta = false;      ///< `vms` and `removed` are only the changes
  std::vector<VmKey> removed;   ///< VMs that are no longer listed
  std::vector<SuspectCount> suspects; ///< new ones, or all that a VM which starts needs

  /** The evacuated data centres; std::nullopt: the sender knows of no list, or is of an
   * earlier release. */
  std::optional<std::vector<Evacuation>> evacuated;

  /** The highest era of the source that the sender knows of; see SourceSnapshot::era. */
  std::optional<std::uint64_t> era;

  /** Time since the source was last read; 0 from a control process, which has none. */
  std::uint64_t ageMs = 0;

  /** Sequence number of the last read of the source that the sender knows of. */
  std::uint64_t readSequence = 0;
};

QByteArray
encode(const Feed& aFeed);

/** Fails with a MessageError. */
Result<Feed>
decodeFeed(const QByteArray& aBytes);

} // namespace masticwall
