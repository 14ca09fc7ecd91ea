"""The registry of subcommands."""

__all__ = ["COMMANDS", "Command", "command"]

COMMANDS = {}


class Command:
    """One subcommand: its options and what it does.

    `run` returns the exit code: 0 done, 1 an error told in one sentence,
    2 wrong usage, 3 the answer is no (a check that failed).
    """

    help = ""
    examples = ""

    def add_options(self, parser):
        """Add options to the subcommand's parser."""

    def run(self, args):
        """Carry out the subcommand; return the exit code."""
        raise NotImplementedError


def command(name):
    """Register a `Command` under `name`."""

    def register(cls):
        COMMANDS[name] = cls()
        return cls

    return register
