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
  std::string reporter; ///< the process that detected the crashes: VM and incarnation
  int crashCount = 0;   ///< crashes that the reporter detected
};

QByteArray
encode(const Suspect& aSuspect);

/** Fails with a MessageError. */
Result<Suspect>
decodeSuspect(const QByteArray& aBytes);

} // namespace masticwall
