#pragma once

#include <core/Rank.h>
#include <core/Time.h>
#include <string>

namespace masticwall {

/** A VM's request for permits, each of which allows one request to an upstream. */
struct PermitRequest
{
  std::string upstream; ///< name
  std::string instance;
  double perSecond = 0.0;    ///< the upstream's limit, as far as the VM knows
  Duration limitAge{ 0 };    ///< since the upstream has stated that limit to the VM
  Rank rank = Rank::Urgent;  ///< of the most urgent call that needs a permit
  int wanted = 1;            ///< calls that need one
  bool isLastResort = false; ///< no other upstream has a slot free for the call
};

} // namespace masticwall
