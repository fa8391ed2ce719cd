#pragma once

#include <core/Time.h>
#include <string>

namespace masticwall {

/** An evacuated data centre, as VMs tell each other. */
struct Evacuation
{
  std::string dataCentre;

  /** More than 0: the source does not list it since it has come back from an older copy,
   * but it is kept for this long. */
  Duration keptFor{ 0 };

  bool operator==(const Evacuation&) const = default;
};

} // namespace masticwall
