#!/usr/bin/env bash
# Checks what the scripts of this review start beside the gateway of the deploy file: stand-ins in
# Python 3 (its standard library only), which need no build.
set -euo pipefail
cd "$(dirname "$0")"
python3 - kit-3/rig.py 1[1-5]/case.py <<'END'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
END
