"""`node`: run the node process of an entry host."""

import signal
import sys
import threading

from lovagepier.callers import CallersApp
from lovagepier.commands._registry import Command, command
from lovagepier.errors import UserError
from lovagepier.logs import set_up_logs
from lovagepier.node import Node
from lovagepier.operators import OperatorsApp
from lovagepier.settings import load_settings
from lovagepier.web import WebServer

__all__ = ["NodeCommand"]

SWITCH_INTERVAL_S = 0.001


@command("node")
class NodeCommand(Command):
    """Run a node until SIGTERM or SIGINT, then shut it down gracefully."""

    help = "Run a node with the settings of an INI file."
    examples = "examples:\n  lovagepier node --settings /etc/lovagepier/node.ini"

    def add_options(self, parser):
        """Add the option for the settings file."""
        parser.add_argument("--settings", required=True, help="the node's INI file")

    def run(self, args):
        """Run until a signal; drain running requests, then return 0."""
        cfg = load_settings(args.settings)
        set_up_logs(cfg.logs_level, cfg.logs_format)
        # Threads that stream answers compete for the interpreter lock; a short
        # switch interval keeps the gaps between chunks even.
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        stop = threading.Event()
        for signum in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signum, lambda *_: stop.set())
        node = Node(cfg)
        node.start()
        callers_app = CallersApp(node)
        callers_server = _bind(cfg, "callers", callers_app.handle)
        operators_server = _bind(cfg, "operators", OperatorsApp(node).handle)
        for server in (callers_server, operators_server):
            threading.Thread(target=server.serve, daemon=True).start()
        while not stop.wait(0.5):
            pass
        node.leave()
        node.drain(cfg.callers_entry_ttl, callers_app.in_flight)
        callers_server.stop()
        operators_server.stop()
        node.stop()
        return 0


def _bind(cfg, section, handle):
    server = WebServer(
        getattr(cfg, f"{section}_listen"),
        handle,
        getattr(cfg, f"{section}_threads"),
        getattr(cfg, f"{section}_certificate"),
        getattr(cfg, f"{section}_private_key"),
    )
    try:
        server.bind()
    except OSError as exc:
        host, port = getattr(cfg, f"{section}_listen")
        raise UserError(f"[{section}] listen = {host}:{port} can't be used: {exc}")
    return server
