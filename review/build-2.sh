#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start besides the system itself: the
# stand-ins are Python and only have to load. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps python3 -c '
import sys
sys.path.insert(0, "review")
import harness2
print("stand-ins load")
'
