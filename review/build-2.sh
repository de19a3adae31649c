#!/usr/bin/env bash
# Builds the stand-ins of cases 4 and up. They are Python of the standard library, so
# there is nothing to compile: this checks the interpreter and that all of them parse.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review/common-2/*.py review/[4-8]/*.py standins/logstore.py standins/rawhttp.py <<'CHECK'
import sys

assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
CHECK
echo "stand-ins are ready"
