#!/bin/sh
# Checks that the stand-ins and scripts compile; they need nothing else.
cd "$(dirname "$0")/.." || exit 1
python3 - review/standins/*.py review/*/case.py <<'END'
import pathlib
import sys

for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(encoding="utf-8"), name, "exec")
END
