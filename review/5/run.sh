#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x review/bin/case-5 ] && [ -x target/dogwoodhitch-platform ] || exit 2
exec review/bin/case-5 "$here"
