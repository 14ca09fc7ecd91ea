"""Stand-in for the platform's list of live and leaving hosts, which lags behind."""

import threading
import time

from lovagepier.standins._registry import standin
from lovagepier.web import Response, json_response

__all__ = ["HostsStandin"]


@standin("hosts")
class HostsStandin:
    """`PUT /hosts/NAME` changes a host; `GET /hosts` shows it after the lag.

    A host whose state is "gone" is left out of the list.
    """

    def __init__(self, options):
        self._lag = options.lag
        self._lock = threading.Lock()
        self._changes = []

    def handle(self, request):
        """Serve changes and reads of the list; other paths get a 404."""
        parts = request.path_segments()
        if request.method == "PUT" and len(parts) == 2:
            record = {**request.json(), "name": parts[1]}
            with self._lock:
                self._changes.append((time.monotonic(), record))
            return json_response({})
        if parts == ["hosts"]:
            return json_response({"hosts": self._visible()})
        return Response(404, b"no such path")

    def _visible(self):
        cut = time.monotonic() - self._lag
        hosts = {}
        with self._lock:
            for at, record in self._changes:
                if at <= cut:
                    hosts[record["name"]] = record
        return [host for host in hosts.values() if host.get("state") != "gone"]

    @staticmethod
    def add_options(parser):
        """Add the options of this stand-in to a parser."""
        parser.add_argument("--lag", type=float, default=2.0, help="seconds of lag")
