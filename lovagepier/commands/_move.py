"""`move`: list, watch and take back moves between versions."""

import time

from lovagepier.commands._client import OperatorClient, add_client_options, print_json
from lovagepier.commands._registry import Command, command
from lovagepier.errors import UserError

__all__ = ["MoveCommand"]

POLL_S = 0.5


@command("move")
class MoveCommand(Command):
    """Follow moves of traffic between versions."""

    help = "List, show, watch and take back moves."
    examples = (
        "examples:\n"
        "  lovagepier move list\n"
        "  lovagepier move watch spring\n"
        "  lovagepier move take-back spring"
    )

    def add_options(self, parser):
        """Add one sub-parser for each action."""
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
        """Carry out one action."""
        client = OperatorClient(args)
        if args.action == "list":
            return self._list(client, args)
        if args.action == "show":
            print_json(_find(client, args.move))
            return 0
        if args.action == "watch":
            return self._watch(client, args)
        return self._take_back(client, args)

    def _list(self, client, args):
        moves = client.call("GET", "/v1/moves")["moves"]
        if args.json:
            print_json(moves)
        else:
            for move in moves:
                print(_line(move))
        return 0

    def _watch(self, client, args):
        until = time.monotonic() + args.seconds
        last = None
        while time.monotonic() < until:
            move = _find(client, args.move)
            line = _line(move)
            if line != last:
                print(line, flush=True)
                last = line
            if move["settled"]:
                return 0 if move["state"] == "done" else 3
            time.sleep(POLL_S)
        raise UserError(f"move {args.move} is neither done nor taken back yet")

    def _take_back(self, client, args):
        _find(client, args.move)
        base = client.call("GET", "/v1/config")["version"]
        place = f"/moves/{args.move}"
        operations = [
            {"op": "add", "path": f"{place}/state", "value": "taken-back"},
            {"op": "add", "path": f"{place}/cause", "value": "an operator's order"},
        ]
        headers = {"If-Match": f'"{base}"'}
        answer = client.call("PATCH", "/v1/config", operations, headers)
        if args.json:
            print_json(answer)
        else:
            print(f"move {args.move} is taken back in version {answer['version']}")
        return 0


def _find(client, name):
    for move in client.call("GET", "/v1/moves")["moves"]:
        if move["move"] == name:
            return move
    raise UserError(f"no move is named {name!r}")


def _line(move):
    text = f"{move['move']}: {move['model']} to {move['to']}: {move['state']}"
    if not move["settled"]:
        text += f" at {move['share']:.0%}"
    return f"{text} ({move['cause']})" if move["cause"] else text
