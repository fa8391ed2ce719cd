#pragma once

// Include toml++ only through this header, so that its options are the same everywhere.
#define TOML_EXCEPTIONS 0
#define TOML_ENABLE_FORMATTERS 1
#include <toml++/toml.h>
