#pragma once

#include <cstdint>
#include <string>

namespace masticwall {

/** A section's text, and the version of the record that set it. */
struct SectionState
{
  std::uint64_t version = 0;
  std::string text;
};

} // namespace masticwall
