#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Needs the deploy file's build and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/masticwall-gateway ] && [ -x review/bin/case3 ] || exit 2
exec review/bin/case3 review/3/record.txt
