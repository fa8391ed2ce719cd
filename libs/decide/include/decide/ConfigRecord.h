#pragma once

#include <decide/ConfigOperation.h>
#include <decide/SectionKey.h>

namespace masticwall {

/** One record of the configuration log. */
struct ConfigRecord
{
  std::string id; ///< unique; finds the record if the log service's reply is lost
  ConfigOperation operation = ConfigOperation::Publish;
  SectionKey key;            ///< `section` is empty for a switch
  std::uint64_t base = 0;    ///< version that the change is based on; 0 for a new section
  std::uint64_t version = 0; ///< snapshots only: the version of the original record
  std::int64_t writtenAtMs = 0; ///< writer's wall clock, Unix time in milliseconds
  std::string text;             ///< the section's content, in TOML
};

} // namespace masticwall
