#!/usr/bin/env bash
# The stand-ins of the cases 11 to 15 are in Python, of which the build of the project needs
# version 3 as well: checks that it is there and that all files can be read.
set -eu
cd "$(dirname "$0")"
python3 - kit-3/kit.py $(ls 1[1-5]/case.py 2>/dev/null) <<'END'
import ast
import sys
import tomllib

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
END
test -x ../target/dogwoodplank-node || {
  echo "build the system first: the build of deploy/system.toml" >&2
  exit 1
}
