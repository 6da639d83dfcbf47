#!/bin/sh
# Builds the stand-ins of cases 6 to 10: they are Python without dependencies, so
# it is enough that the interpreter is there and reads them.
cd "$(dirname "$0")" || exit 1
exec python3 - <<'END'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed")
for path in sorted([*pathlib.Path("lib-2").glob("*.py"), *pathlib.Path().glob("*/play.py")]):
    ast.parse(path.read_text(), str(path))
END
