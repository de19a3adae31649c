#!/usr/bin/env bash
# Prepares the stand-ins that the scripts start: they are plain Python modules, so
# nothing is compiled. Checks that each one can be loaded after the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
exec env PYTHONPATH="$PWD:$PWD/target/deps" python3 -c "
import importlib
for name in (
    'standins.rawhttp',
    'standins.logstore',
    'review.lib.deployment',
    'review.lib.caller',
    'review.lib.service',
    'review.lib.silence',
):
    importlib.import_module(name)
print('stand-ins ready')
"
