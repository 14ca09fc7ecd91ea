"""`explain`: show where a request would go now, and why, without sending it."""

import argparse
import json
from pathlib import Path
from urllib.parse import urlencode

from lovagepier.commands._client import OperatorClient, print_json
from lovagepier.commands._registry import Command, command
from lovagepier.errors import UserError

__all__ = ["ExplainCommand"]

# Fields of the description, as flags and in the JSON file.
_FIELDS = {
    "path": "path of the request",
    "authority": "host name of the request, if several have the path",
    "route": "name of the route, instead of a path",
    "service": "name of the service, instead of a path",
    "account": "name of the client account",
    "id": "id of the request, which selects service and version",
    "prompt_tokens": "tokens of the prompt",
    "output_tokens": "most tokens of the answer",
    "timeout_ms": "how long the caller waits",
}
_COLUMNS = ("target", "zone", "version", "running", "finish_s", "cached", "left out")


@command("explain")
class ExplainCommand(Command):
    """Ask a host for the decision on a described request."""

    help = "Show where a request would go now and why, without sending it."
    examples = (
        "examples:\n"
        "  lovagepier explain --host 10.1.0.25:7600 --path /read/x --account blue\n"
        "  lovagepier explain --host 10.1.0.25:7600 --file request.json --json"
    )

    def add_options(self, parser):
        """Add the options for the host, the request and the output."""
        parser.add_argument(
            "--host", required=True, help="HOST:PORT of a host's metrics listener"
        )
        parser.add_argument("--file", help="JSON object with the fields below")
        for name, text in _FIELDS.items():
            parser.add_argument(f"--{name.replace('_', '-')}", help=text)
        parser.add_argument(
            "--block",
            action="append",
            help="ID:TOKENS of a block of the prompt, in order; may be repeated",
        )
        parser.add_argument("--json", action="store_true", help="print JSON")

    def run(self, args):
        """Print the decision; exit with 3 if the request would be refused."""
        query = urlencode(_description(args), doseq=True)
        client_args = argparse.Namespace(node=f"http://{args.host}", key="")
        answer = OperatorClient(client_args).call("GET", f"/explain?{query}")
        if args.json:
            print_json(answer)
        else:
            _print(answer)
        return 3 if answer["decision"] == "refused" else 0


def _description(args):
    """Return the fields of the query; flags replace those of the file."""
    values = _read_file(args.file) if args.file else {}
    for name in (*_FIELDS, "block"):
        if getattr(args, name) is not None:
            values[name] = getattr(args, name)
    if "authority" in values:
        values["host"] = values.pop("authority")
    return values


def _read_file(path):
    try:
        values = json.loads(Path(path).read_text())
    except OSError as exc:
        raise UserError(f"can't read {path}: {exc.strerror}")
    except ValueError as exc:
        raise UserError(f"{path} is not JSON: {exc}")
    if not isinstance(values, dict):
        raise UserError(f"{path} must hold a JSON object")
    unknown = sorted(set(values) - {*_FIELDS, "block"})
    if unknown:
        raise UserError(f"{path}: unknown field {unknown[0]}")
    return values


def _print(answer):
    view = answer["host_view"]
    print(
        f"host {answer['host']}  configuration {view['config_version']}  "
        f"store revision {view['store_revision']}, {view['store_age_s']} s old"
    )
    age = answer["coordinator_view"]["store_age_s"]
    print(f"coordinator {answer['coordinator']}  store {age} s old")
    if answer["host"] != answer["coordinator"]:
        print(
            f"{answer['host']} is not the coordinator: this is its own view; "
            f"ask {answer['coordinator']} for the decision"
        )
    request = answer["request"]
    print("  ".join(f"{name} {value}" for name, value in request.items() if value))
    print(_summary(answer))
    rows = [_COLUMNS]
    for row in answer["targets"]:
        load = f"{row['in_flight']}/{row['slots']:g}"
        cells = (row["target"], row["zone"], row["version"] or "-", load)
        cells += (row["finish_s"], row["hit_tokens"], row["left_out"] or "-")
        rows.append(tuple(map(str, cells)))
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows if len(rows) > 1 else ():
        cells = (cell.ljust(size) for cell, size in zip(row, widths, strict=True))
        print("  " + "  ".join(cells).rstrip())


def _summary(answer):
    decision = answer["decision"]
    if decision == "refused":
        return (
            f"refused: {answer['kind']}, status {answer['status']}, "
            f"Retry-After {answer['retry_after_s']}: {answer['why']}"
        )
    if decision == "queued":
        return (
            f"queued behind {answer['ahead']}, expected wait "
            f"{answer['expected_wait_s']} s, refused after {answer['refused_in_s']} s: "
            f"{answer['why']}"
        )
    return f"{decision}: {answer['target']}: {answer['why']}"
