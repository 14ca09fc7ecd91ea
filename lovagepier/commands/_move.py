"""`move`: list, show, watch and roll back rollouts.

In the API and on the command line a rollout is a "move", and a rollout that was
rolled back is "taken back".
"""

import time

from lovagepier.commands._client import OperatorClient, add_client_options, print_json
from lovagepier.commands._registry import Command, command
from lovagepier.errors import UserError

__all__ = ["MoveCommand"]

POLL_INTERVAL_S = 0.5


@command("move")
class MoveCommand(Command):
    """Show and roll back rollouts of model versions."""

    help = "List, show, watch and take back moves."
    examples = (
        "examples:\n"
        "  lovagepier move list\n"
        "  lovagepier move watch spring\n"
        "  lovagepier move take-back spring"
    )

    def add_options(self, parser):
        """Add a sub-parser for each action."""
        actions = parser.add_subparsers(dest="action", required=True, metavar="ACTION")
        add_client_options(actions.add_parser("list", help="list all moves"))
        for name, text in (
            ("show", "print one move"),
            ("watch", "follow a move until it is done (0) or taken back (3)"),
            ("take-back", "take a move back now"),
        ):
            sub = actions.add_parser(name, help=text)
            sub.add_argument("move", help="the move's name")
            if name == "watch":
                sub.add_argument("--seconds", type=float, default=3600.0)
            add_client_options(sub)

    def run(self, args):
        """Run one action; return the exit code.

        `watch` returns 0 for a completed rollout and 3 for one rolled back.
        """
        client = OperatorClient(args)
        if args.action == "list":
            return self._list(client, args)
        if args.action == "show":
            print_json(_find_rollout(client, args.move))
            return 0
        if args.action == "watch":
            return self._watch(client, args)
        return self._take_back(client, args)

    def _list(self, client, args):
        rollouts = client.call("GET", "/v1/moves")["moves"]
        if args.json:
            print_json(rollouts)
        else:
            for rollout in rollouts:
                print(_format_line(rollout))
        return 0

    def _watch(self, client, args):
        until = time.monotonic() + args.seconds
        last = None
        while time.monotonic() < until:
            rollout = _find_rollout(client, args.move)
            line = _format_line(rollout)
            if line != last:
                print(line, flush=True)
                last = line
            if rollout["settled"]:
                return 0 if rollout["state"] == "done" else 3
            time.sleep(POLL_INTERVAL_S)
        raise UserError(f"move {args.move} is neither done nor taken back yet")

    def _take_back(self, client, args):
        _find_rollout(client, args.move)
        base = client.call("GET", "/v1/config")["version"]
        path = f"/moves/{args.move}"
        operations = [
            {"op": "add", "path": f"{path}/state", "value": "taken-back"},
            {"op": "add", "path": f"{path}/cause", "value": "an operator's order"},
        ]
        headers = {"If-Match": f'"{base}"'}
        answer = client.call("PATCH", "/v1/config", operations, headers)
        if args.json:
            print_json(answer)
        else:
            print(f"move {args.move} is taken back in version {answer['version']}")
        return 0


def _find_rollout(client, name):
    for rollout in client.call("GET", "/v1/moves")["moves"]:
        if rollout["move"] == name:
            return rollout
    raise UserError(f"no move is named {name!r}")


def _format_line(rollout):
    text = (
        f"{rollout['move']}: {rollout['model']} to {rollout['to']}: {rollout['state']}"
    )
    if not rollout["settled"]:
        text += f" at {rollout['share']:.0%}"
    return f"{text} ({rollout['cause']})" if rollout["cause"] else text
