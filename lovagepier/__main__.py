"""Run the command line with `python3 -m lovagepier`."""

import sys

from lovagepier.commands import main

sys.exit(main())
