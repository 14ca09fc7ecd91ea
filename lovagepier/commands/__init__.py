"""The command line: one module a subcommand, each registered in one list."""

from lovagepier.commands._main import main

__all__ = ["main"]
