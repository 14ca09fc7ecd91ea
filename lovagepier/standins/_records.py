"""Stand-in for a records worker: a plain service that keeps a journal of writes."""

import threading
import time

from lovagepier.standins._faults import Faults
from lovagepier.standins._registry import standin
from lovagepier.web import Response, json_response

__all__ = ["RecordsStandin"]

MAX_BODY_BYTES = 8 << 20


@standin("records")
class RecordsStandin:
    """Writes each POST or PATCH to a journal and answers look-ups.

    GET and HEAD return the length of the journal; every other method counts as a
    write.

    Faults: `slow` (seconds of delay), `failing` (500 before the write reaches
    the journal), `silent` (writes to the journal, then closes the connection
    without an answer).
    """

    def __init__(self, options):
        self._delay = options.delay
        self._lock = threading.Lock()
        self._journal = []
        self.faults = Faults()

    def handle(self, request):
        """Serve calls, the journal, a load report and fault injection."""
        if request.path == "/faults":
            self.faults.apply(request.json())
            return json_response({})
        if request.path == "/journal":
            with self._lock:
                return json_response({"journal": list(self._journal)})
        if request.path == "/v1/load":
            return json_response({"running": 0, "waiting": 0, "incarnation": "r"})
        time.sleep(self._delay + self.faults.value("slow", 0))
        if self.faults.value("failing"):
            return Response(500, b"failing")
        if request.method in ("GET", "HEAD"):
            with self._lock:
                return json_response({"entries": len(self._journal)})
        return self._record(request)

    def _record(self, request):
        body = request.body(MAX_BODY_BYTES)
        entry = {
            "key": request.header("Idempotency-Key"),
            "id": request.header("X-Request-Id"),
            "method": request.method,
            "path": request.path,
            "bytes": len(body),
        }
        with self._lock:
            self._journal.append(entry)
            number = len(self._journal)
        if self.faults.value("silent"):
            return Response(200, _abort_connection())
        return json_response({"recorded": entry["key"], "number": number}, status=201)

    @staticmethod
    def add_options(parser):
        """Add the options of this stand-in to a parser."""
        parser.add_argument("--delay", type=float, default=0.01, help="service seconds")


def _abort_connection():
    raise ConnectionAbortedError
    yield b""
