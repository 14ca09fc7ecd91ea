#!/usr/bin/env bash
# Builds the stand-ins: they are Python of the standard library, so this checks that
# they compile and that the deploy file's build has been run.
set -eu
cd "$(dirname "$0")"
python3 - <<'P'
import ast
from pathlib import Path

for path in sorted(Path(".").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
if not Path("../target/deps/h11").is_dir():
    raise SystemExit("run the build of deploy/system.toml first")
P
