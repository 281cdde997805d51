#!/usr/bin/env bash
# Prepares the stand-ins of review/7 to review/10. They are plain Python of the
# standard library, so nothing has to be built; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins_2.py ./[0-9]*/case.py <<'END'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or later")
for path in sys.argv[1:]:
    compile(pathlib.Path(path).read_text(), path, "exec")
END
