#pragma once

#include "CborReader.h"
#include <QCborMap>
#include <core/Result.h>
#include <messages/Suspect.h>

namespace masticwall {

/** The fields of a suspect, as it is sent alone and in a feed. */
QCborMap
toMap(const Suspect& aSuspect);

/** Fails with a MessageError. */
Result<Suspect>
toSuspect(CborReader aReader);

} // namespace masticwall
