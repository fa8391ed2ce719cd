#pragma once

#include <QByteArray>
#include <core/Digest.h>
#include <core/Result.h>
#include <string>

namespace masticwall {

/** A request that is suspected of crashing upstreams, as one process reports it. */
struct Suspect
{
  Digest request;
  std::string reporter; ///< the process that detected the crashes, as "VM#INCARNATION"
  int crashCount = 0;   ///< reporter's total count for the request, not an increment
};

QByteArray
encode(const Suspect& aSuspect);

/** Fails with a MessageError. */
Result<Suspect>
decodeSuspect(const QByteArray& aBytes);

} // namespace masticwall
