"""`timeline`: show the events of all nodes in order of time."""

import time
from datetime import UTC, datetime
from urllib.parse import urlencode

from lovagepier.commands._client import OperatorClient, add_client_options, print_json
from lovagepier.commands._registry import Command, command

__all__ = ["TimelineCommand"]

POLL_INTERVAL_S = 0.5
QUERY_OVERLAP_S = 2.0


@command("timeline")
class TimelineCommand(Command):
    """Show events, with where and why each happened."""

    help = "Show the events of all processes in one order."
    examples = (
        "examples:\n"
        "  lovagepier timeline --request 7f3a\n"
        "  lovagepier timeline --move spring --follow"
    )

    def add_options(self, parser):
        """Add the options that filter events."""
        parser.add_argument("--request", default="", help="only one request's events")
        parser.add_argument("--move", default="", help="only one move's events")
        parser.add_argument("--since", type=float, default=0.0, help="Unix seconds")
        parser.add_argument("--limit", type=int, default=2000)
        parser.add_argument("--follow", action="store_true", help="go on as they come")
        add_client_options(parser)

    def run(self, args):
        """Print events; with --follow, poll for new ones until interrupted.

        While following, each query overlaps the one before, because events of
        different nodes arrive out of order.
        """
        client = OperatorClient(args)
        seen = set()
        since = args.since
        while True:
            query = {
                "request": args.request,
                "move": args.move,
                "since": since,
                "limit": args.limit,
            }
            events = client.call("GET", f"/v1/events?{urlencode(query)}")["events"]
            unseen = [e for e in events if (e["node"], e["number"]) not in seen]
            seen = {(e["node"], e["number"]) for e in events}
            if args.json:
                print_json(unseen)
            else:
                for event in unseen:
                    print(_format_line(event), flush=True)
            if not args.follow:
                return 0
            if events:
                since = events[-1]["at"] - QUERY_OVERLAP_S
            time.sleep(POLL_INTERVAL_S)


def _format_line(event):
    at = datetime.fromtimestamp(event["at"], UTC).strftime("%H:%M:%S.%f")[:-3]
    text = f"{at}  {event['node']:<8} {event['part']}: {event['event']}"
    if "why" in event:
        text += f" because {event['why']}"
    names = [event[name] for name in ("request", "move") if name in event]
    facts = [f"{name}={value}" for name, value in event.get("facts", {}).items()]
    tail = " ".join([*names, *facts])
    return f"{text}  [{tail}]" if tail else text
