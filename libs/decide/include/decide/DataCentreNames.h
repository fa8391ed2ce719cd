#pragma once

#include <set>
#include <string>

namespace masticwall {

using DataCentreNames = std::set<std::string>;

} // namespace masticwall
