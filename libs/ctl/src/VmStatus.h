#pragma once

#include <QJsonObject>
#include <string>

namespace masticwall {

/** The state that one VM's control process reports. */
struct VmStatus
{
  std::string vm;
  bool hasReplied = false;
  std::uint64_t version = 0; ///< of the active preset on the VM
  std::string preset;
  bool isLeaving = false;
  QJsonObject state; ///< the full state dump
};

} // namespace masticwall
