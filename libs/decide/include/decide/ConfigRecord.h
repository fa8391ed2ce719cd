#pragma once

#include <decide/ConfigOperation.h>
#include <decide/SectionKey.h>

namespace masticwall {

/** One record of the configuration stream. */
struct ConfigRecord
{
  std::string id; ///< chosen by the writer; finds a record whose answer was lost
  ConfigOperation operation = ConfigOperation::Publish;
  SectionKey key;               ///< the section is empty for a switch
  std::uint64_t base = 0;       ///< the version that the writer saw; 0 for a new section
  std::uint64_t version = 0;    ///< snapshots: the version of what is repeated
  std::int64_t writtenAtMs = 0; ///< writer's wall clock, milliseconds since 1970
  std::string text;
};

} // namespace masticwall
