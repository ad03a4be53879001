#!/bin/sh
# Builds what the cases 6 to 10 start beside the program of the deploy file. Their
# stand-ins are Python programs, so this only checks that they compile.
set -eu
cd "$(dirname "$0")"
command -v python3 >/dev/null || {
  echo "python3 is missing" >&2
  exit 2
}
for file in second/*.py [0-9]*/case_2.py; do
  [ -e "$file" ] || continue
  python3 - "$file" <<'PY'
import sys
path = sys.argv[1]
with open(path, encoding="utf-8") as source:
    compile(source.read(), path, "exec")
PY
done
echo "the stand-ins compile"
