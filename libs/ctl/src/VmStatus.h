#pragma once

#include <QJsonObject>
#include <string>

namespace masticwall {

/** What one VM's control process says of itself. */
struct VmStatus
{
  std::string vm;
  bool isAnswering = false;
  std::uint64_t version = 0; ///< of the preset in force there
  std::string preset;
  bool isLeaving = false;
  QJsonObject state; ///< the whole dump
};

} // namespace masticwall
