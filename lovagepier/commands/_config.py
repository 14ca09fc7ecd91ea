"""`config`: check settings files; show and patch the versioned configuration."""

import json
import sys
import uuid
from pathlib import Path

from lovagepier.commands._client import OperatorClient, add_client_options, print_json
from lovagepier.commands._registry import Command, command
from lovagepier.errors import UserError
from lovagepier.settings import load_settings

__all__ = ["ConfigCommand"]


@command("config")
class ConfigCommand(Command):
    """Show and change the configuration."""

    help = "Check settings; show, patch and list versions of the configuration."
    examples = (
        "examples:\n"
        "  lovagepier config check node.ini\n"
        "  lovagepier config show\n"
        "  lovagepier config patch change.json --base 12\n"
        "  lovagepier config history"
    )

    def add_options(self, parser):
        """Add a sub-parser for each action."""
        actions = parser.add_subparsers(dest="action", required=True, metavar="ACTION")
        check = actions.add_parser("check", help="check a settings file")
        check.add_argument("file", help="the node's INI file")
        check.add_argument("--json", action="store_true", help="print JSON")
        show = actions.add_parser("show", help="print the version in force")
        patch = actions.add_parser("patch", help="submit a JSON Patch")
        patch.add_argument("file", help="the patch, or - for standard input")
        patch.add_argument("--base", type=int, help="version patched; default: current")
        patch.add_argument("--id", help="patch id that makes sending again safe")
        history = actions.add_parser("history", help="list accepted patches")
        history.add_argument("--limit", type=int, default=20)
        in_force = actions.add_parser(
            "in-force", help="tell which nodes have a version"
        )
        in_force.add_argument("version", type=int)
        for sub in (show, patch, history, in_force):
            add_client_options(sub)

    def run(self, args):
        """Run the method that is named after the action; return the exit code."""
        return getattr(self, f"_{args.action.replace('-', '_')}")(args)

    def _check(self, args):
        load_settings(args.file)
        if args.json:
            print_json({"file": args.file, "ok": True})
        else:
            print(f"{args.file}: the settings are in order")
        return 0

    def _show(self, args):
        print_json(OperatorClient(args).call("GET", "/v1/config"))
        return 0

    def _patch(self, args):
        operations = _read_patch(args.file)
        client = OperatorClient(args)
        base = args.base
        if base is None:
            base = client.call("GET", "/v1/config")["version"]
        patch_id = args.id or uuid.uuid4().hex
        headers = {"If-Match": f'"{base}"', "X-Patch-Id": patch_id}
        answer = client.call("PATCH", "/v1/config", operations, headers)
        if args.json:
            print_json(answer)
        else:
            print(f"accepted as version {answer['version']} (patch id {patch_id})")
        return 0

    def _history(self, args):
        path = f"/v1/config/history?limit={args.limit}"
        rows = OperatorClient(args).call("GET", path)["history"]
        if args.json:
            print_json(rows)
            return 0
        for row in rows:
            changed = ", ".join(op.get("path", "?") for op in row["patch"])
            print(f"{row['version']:>6}  {row['author']:<12} {changed}")
        return 0

    def _in_force(self, args):
        path = f"/v1/config/{args.version}/in-force"
        answer = OperatorClient(args).call("GET", path)
        if args.json:
            print_json(answer)
        else:
            word = "everywhere" if answer["everywhere"] else "not everywhere"
            print(f"version {args.version} is in force {word}")
            for name, version in sorted(answer["nodes"].items()):
                print(f"  {name}: {version}")
        return 0 if answer["everywhere"] else 3


def _read_patch(name):
    try:
        text = sys.stdin.read() if name == "-" else Path(name).read_text("utf-8")
    except OSError as exc:
        raise UserError(f"{name}: cannot be read: {exc.strerror}")
    try:
        return json.loads(text)
    except ValueError as exc:
        raise UserError(f"{name}: is not JSON: {exc}")
