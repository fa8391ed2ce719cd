#pragma once

#include "CborReader.h"
#include <QCborMap>
#include <core/Result.h>
#include <messages/Suspect.h>

namespace masticwall {

/** Encodes a suspect as a CBOR map, for a message of its own or for a feed. */
QCborMap
toMap(const SuspectCount& aSuspect);

/** Decodes the map of a suspect. Fails with a MessageError. */
Result<SuspectCount>
toSuspect(CborReader aReader);

} // namespace masticwall
