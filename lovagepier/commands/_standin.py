"""`standin`: run a stand-in for a system that the scheduler depends on."""

import signal

from lovagepier.commands._registry import Command, command
from lovagepier.errors import UserError
from lovagepier.standins import STANDINS
from lovagepier.web import WebServer

__all__ = ["StandinCommand"]


@command("standin")
class StandinCommand(Command):
    """Run one stand-in as an HTTP server."""

    help = "Run a stand-in: kv, engine, records, hosts or weights."
    examples = (
        "examples:\n"
        "  lovagepier standin kv --listen 127.0.0.1:2379\n"
        "  lovagepier standin engine --listen 127.0.0.1:9001 --pace 0.02 --slots 8"
    )

    def add_options(self, parser):
        """Add a sub-parser for each kind of stand-in."""
        kinds = parser.add_subparsers(dest="kind", required=True, metavar="KIND")
        for name, cls in STANDINS.items():
            sub = kinds.add_parser(name, help=cls.__doc__.splitlines()[0])
            sub.add_argument("--listen", required=True, help="HOST:PORT")
            sub.add_argument("--threads", type=int, default=128, help="worker threads")
            cls.add_options(sub)

    def run(self, args):
        """Serve until SIGTERM or SIGINT; return 0."""
        host, _, port = args.listen.rpartition(":")
        if not host or not port.isdigit():
            raise UserError(f"--listen {args.listen!r} is not HOST:PORT")
        standin = STANDINS[args.kind](args)
        server = WebServer((host, int(port)), standin.handle, args.threads)
        try:
            server.bind()
        except OSError as exc:
            raise UserError(f"{args.listen} can't be listened on: {exc}")
        for signum in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signum, lambda *_: server.stop())
        print(f"standin {args.kind} listens on {host}:{server.port}", flush=True)
        server.serve()
        return 0
