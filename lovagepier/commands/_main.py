"""Entry point of the command line: parses arguments and runs the subcommand."""

import argparse
import sys

from lovagepier import build_name
from lovagepier.commands import (  # noqa: F401  each registers itself
    _bench,
    _config,
    _explain,
    _move,
    _node,
    _send,
    _standin,
    _status,
    _timeline,
)
from lovagepier.commands._registry import COMMANDS
from lovagepier.errors import UserError
from lovagepier.formats import OWN_FORMATS

__all__ = ["main"]


def _parser():
    parser = argparse.ArgumentParser(
        prog="lovagepier",
        description="A request scheduler for unlike engines.",
        epilog="Exit codes: 0 done, 1 error, 2 wrong usage, 3 the answer is no.",
    )
    parser.add_argument(
        "--version", action="version", version=f"{build_name()} formats {OWN_FORMATS}"
    )
    subparsers = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for name, subcommand in COMMANDS.items():
        sub = subparsers.add_parser(
            name,
            help=subcommand.help,
            description=subcommand.help,
            epilog=subcommand.examples,
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        subcommand.add_options(sub)
    return parser


def main(argv=None):
    """Run the command line; return the exit code.

    A `UserError` is printed to standard error as one line.
    """
    args = _parser().parse_args(argv)
    try:
        return COMMANDS[args.command].run(args) or 0
    except UserError as exc:
        print(f"lovagepier: {exc}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 1
    except KeyboardInterrupt:
        return 130
