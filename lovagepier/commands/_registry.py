"""The registry of subcommands."""

__all__ = ["COMMANDS", "Command", "command"]

COMMANDS = {}


class Command:
    """Base class of the subcommands.

    `run` returns the exit code: 0 for success, 1 for an error, 2 for wrong usage,
    3 if the answer is no, such as a failed check.
    """

    help = ""
    examples = ""

    def add_options(self, parser):
        """Add options to the parser of the subcommand."""

    def run(self, args):
        """Run the subcommand; return the exit code, where None is 0."""
        raise NotImplementedError


def command(name):
    """Return a decorator that registers a `Command` under `name`."""

    def register(cls):
        COMMANDS[name] = cls()
        return cls

    return register
