"""Stand-in for the rate-limited store of model weights."""

import threading
import time

from lovagepier.standins._registry import standin
from lovagepier.web import Response, json_response

__all__ = ["WeightsStandin"]


@standin("weights")
class WeightsStandin:
    """Lists weights and serves one fetch after another at a byte rate."""

    def __init__(self, options):
        self._rate = options.rate
        self._weights = [self._entry(text) for text in options.weights]
        self._lock = threading.Lock()
        self._free_at = 0.0

    def _entry(self, text):
        model, version, size = text.split(":")
        return {"model": model, "version": version, "bytes": int(size)}

    def handle(self, request):
        """Serve the list at `/weights` and a fetch at `/weights/MODEL/VERSION`."""
        parts = request.path_segments()
        if parts == ["weights"]:
            body = {"weights": self._weights, "bytes_per_second": self._rate}
            return json_response(body)
        if len(parts) == 3 and parts[0] == "weights":
            return self._fetch(parts[1], parts[2])
        return Response(404, b"no such path")

    def _fetch(self, model, version):
        for entry in self._weights:
            if (entry["model"], entry["version"]) == (model, version):
                self._wait_for_transfer(entry["bytes"] / self._rate)
                return json_response(entry)
        return Response(404, b"no such weights")

    def _wait_for_transfer(self, seconds):
        with self._lock:
            start = max(time.monotonic(), self._free_at)
            self._free_at = start + seconds
        time.sleep(max(0.0, self._free_at - time.monotonic()))

    @staticmethod
    def add_options(parser):
        """Add the options of this stand-in to a parser."""
        parser.add_argument("--rate", type=float, default=1e9, help="bytes a second")
        parser.add_argument(
            "--weights", nargs="*", default=[], help="MODEL:VERSION:BYTES entries"
        )
