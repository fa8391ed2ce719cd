#pragma once

// The one place that includes toml++, so that its options are the same everywhere.
#define TOML_EXCEPTIONS 0
#define TOML_ENABLE_FORMATTERS 1
#include <toml++/toml.h>
