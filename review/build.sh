#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python files that use
# only the standard library, so this compiles them and needs no network.
cd "$(dirname "$0")/.." || exit 2
python3 - <<'PYTHON'
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print("compiled", path)
PYTHON
