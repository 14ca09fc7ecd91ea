"""The command line; each subcommand is a module that registers itself."""

from lovagepier.commands._main import main

__all__ = ["main"]
