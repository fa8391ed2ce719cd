#pragma once

#include <QByteArray>
#include <core/Result.h>
#include <string>

namespace masticwall {

/** Says that an instance of a VM leaves. */
struct LeavingNotice
{
  std::string vm;
  std::string instance;
};

QByteArray
encode(const LeavingNotice& aNotice);

/** Fails with a MessageError. */
Result<LeavingNotice>
decodeLeavingNotice(const QByteArray& aBytes);

} // namespace masticwall
