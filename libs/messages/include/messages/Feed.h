#pragma once

#include <QByteArray>
#include <core/Digest.h>
#include <core/Result.h>
#include <decide/MembershipDelta.h>
#include <map>
#include <string>
#include <vector>

namespace masticwall {

/** What a process has when it asks another one for news. */
struct FeedRequest
{
  std::uint64_t version = 0;  ///< of the preset in force
  std::uint64_t revision = 0; ///< of the membership; 0: none of this teller's
  std::uint64_t reading = 0;  ///< the teller's last one that was told

  /** For news. Else the reply comes at once, and states versions and ages only. */
  bool mayWait = true;
};

/** A request that has taken upstreams down. */
struct Suspect
{
  Digest request;
  std::string reporter; ///< the process that saw the deaths: VM and incarnation
  int crashCount = 0;   ///< that it saw
};

/** What a process that reads the source tells those that it feeds; parts that are not
 * newer are empty. */
struct Feed
{
  std::uint64_t version = 0;
  std::string preset;                          ///< empty if not newer
  std::map<std::string, std::string> sections; ///< of the preset, by name
  bool isDelta = false; ///< `sections` are only those newer than what the asker has
  std::uint64_t revision = 0;
  VmList vms;              ///< empty if not newer
  bool isVmsDelta = false; ///< `vms` and `removed` are changes since the asker's revision
  std::vector<VmKey> removed; ///< VMs that are listed no more
  std::vector<Suspect> suspects;
  std::uint64_t ageMs = 0;   ///< since the source was last read; 0: not told
  std::uint64_t reading = 0; ///< rises at the teller with each reading that it learns of
};

QByteArray
encode(const FeedRequest& aRequest);

/** Fails with a MessageError. */
Result<FeedRequest>
decodeFeedRequest(const QByteArray& aBytes);

QByteArray
encode(const Feed& aFeed);

/** Fails with a MessageError. */
Result<Feed>
decodeFeed(const QByteArray& aBytes);

QByteArray
encode(const Suspect& aSuspect);

/** Fails with a MessageError. */
Result<Suspect>
decodeSuspect(const QByteArray& aBytes);

} // namespace masticwall
