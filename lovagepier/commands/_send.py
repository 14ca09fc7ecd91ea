"""`send`: send one request with the client library."""

import json
import os
import sys

from lovagepier.client import Caller, CallerError
from lovagepier.commands._client import print_json
from lovagepier.commands._registry import Command, command
from lovagepier.errors import UserError

__all__ = ["SendCommand"]


@command("send")
class SendCommand(Command):
    """Send a model request or a call to a plain service."""

    help = "Send one request through the entry hosts."
    examples = (
        "examples:\n"
        "  lovagepier send --entry http://127.0.0.1:8080 --model drafter 'Hello'\n"
        "  lovagepier send --entry http://127.0.0.1:8080 --record POST "
        "/pledges/new '{}' --idempotency-key K1"
    )

    def add_options(self, parser):
        """Add the options that describe the request."""
        add = parser.add_argument
        add("--entry", action="append", required=True, help="URL of any entry host")
        add("--key", default=os.environ.get("LOVAGEPIER_CALLER_KEY", ""))
        add("--zone", default="", help="the caller's availability zone")
        add("--model", default="", help="model of a model request")
        add("--record", nargs=2, metavar=("METHOD", "PATH"), help="call a service")
        add("--idempotency-key", default="")
        add("--deadline-ms", type=int)
        add("--tier", default="")
        add("--route", default="")
        add("--id", default="", help="request id")
        add("--max-tokens", type=int, default=0)
        add("--whole", action="store_true", help="do not stream")
        add("--json", action="store_true", help="print JSON")
        add("text", help="the prompt, or the body of the call")

    def run(self, args):
        """Send the request and print the answer; return 3 unless it is a success."""
        caller = Caller(args.entry, args.key, args.zone)
        try:
            reply = self._send(caller, args)
        except CallerError as exc:
            raise UserError(str(exc))
        if args.json:
            print_json(_summary(reply))
        else:
            sys.stdout.write(_text(reply) + "\n")
            print(f"status {reply.status}, run {reply.run}", file=sys.stderr)
        return 0 if 200 <= reply.status < 300 and reply.is_complete else 3

    def _send(self, caller, args):
        if args.record:
            method, path = args.record
            return caller.record(
                method, path, args.text.encode(), args.idempotency_key, args.deadline_ms
            )
        if not args.model:
            raise UserError("either --model or --record is needed")
        fields = {
            "model": args.model,
            "messages": [{"role": "user", "content": args.text}],
            "stream": not args.whole,
        }
        if args.max_tokens:
            fields["max_tokens"] = args.max_tokens
        return caller.complete(fields, args.deadline_ms, args.tier, args.route, args.id)


def _text(reply):
    """Return the text of a streamed answer, or the body of any other answer."""
    if reply.status != 200 or not reply.body.startswith(b"data: "):
        return reply.body.decode("utf-8", "replace")
    parts = []
    for line in reply.body.split(b"\n\n"):
        if line.startswith(b"data: {"):
            event = json.loads(line[6:])
            parts.append(event["choices"][0]["delta"].get("content", ""))
    return "".join(parts)


def _summary(reply):
    return {
        "id": reply.id,
        "status": reply.status,
        "run": reply.run,
        "whole": reply.is_complete,
        "attempts": reply.attempts,
        "first_seconds": reply.first_byte_seconds,
        "total_seconds": reply.total_seconds,
        "text": _text(reply),
    }
