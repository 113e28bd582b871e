#!/usr/bin/env bash
# Builds what the scripts of the cases start beside the project's program.
# The stand-ins are one Python module, which needs no more than Python 3.9.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import sys
assert sys.version_info >= (3, 9), "Python 3.9 or newer is needed"
for name in ("lib/standins.py",):
    compile(open(name).read(), name, "exec")
PY
echo "the stand-ins are ready"
