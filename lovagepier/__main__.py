"""Run the command line as a module."""

import sys

from lovagepier.commands import main

sys.exit(main())
