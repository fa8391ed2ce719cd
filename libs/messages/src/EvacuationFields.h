#pragma once

#include <QCborArray>
#include <core/Result.h>
#include <decide/Evacuation.h>
#include <vector>

namespace masticwall {

/** Encodes the evacuated data centres for a feed. */
QCborArray
toArray(const std::vector<Evacuation>& aEvacuations);

/** Decodes them. Fails with a MessageError. */
Result<std::vector<Evacuation>>
toEvacuations(const QCborArray& aArray);

} // namespace masticwall
