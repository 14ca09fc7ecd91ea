"""Stand-in for a language-model engine with an OpenAI-compatible API."""

import os
import random
import threading
import time
import uuid
from collections import OrderedDict, deque

from lovagepier.http_pools import PoolManager
from lovagepier.standins._batch import Batch, Sequence
from lovagepier.standins._faults import Faults
from lovagepier.standins._registry import standin
from lovagepier.web import Response, json_response

__all__ = ["EngineStandin"]

MAX_BODY_BYTES = 8 << 20
MAX_KEPT_SEQUENCES = 5000
CRASH_MARKER = b"CRASH-TARGET"
MAX_STREAM_WAIT_S = 0.5


@standin("engine")
class EngineStandin:
    """Arrival-order admission, continuous batching, bounded prefix cache.

    Faults: `slow` (factor), `failing` (fraction of requests), `failing_route`
    (a route's name), `freeze` (no progress), `close_early` (stream ends
    without `[DONE]`). A body that contains CRASH-TARGET ends the process.
    """

    def __init__(self, options):
        self.options = options
        self.incarnation = uuid.uuid4().hex[:8]
        self.faults = Faults()
        self._rng = random.Random(options.seed)
        self._batch = Batch(options, self.faults)
        self._sequences = OrderedDict()
        self._dispatches = {}
        self._max_fence = 0
        self._loaded = set() if options.unloaded else {options.version}
        self._orders = []
        self._orders_in_progress = 0
        self._max_concurrent_orders = 0
        self._reports = deque(maxlen=256)
        self._lock = threading.Lock()
        threading.Thread(target=self._batch.run, daemon=True).start()
        threading.Thread(target=self._record_reports, daemon=True).start()

    def handle(self, request):
        """Serve the API of an engine, fault injection and counters."""
        parts = request.path_segments()
        if request.method == "POST" and request.path in (
            "/v1/chat/completions",
            "/v1/completions",
        ):
            return self._complete(request)
        if parts[:2] == ["v1", "streams"] and len(parts) == 3:
            return self._resume(parts[2], request)
        if parts[:2] == ["v1", "cancel"] and len(parts) == 3:
            return json_response({"cancelled": self._cancel(parts[2])})
        return self._control(request, parts)

    def _control(self, request, parts):
        if request.path == "/v1/load":
            return json_response(self._lagging_report())
        if request.path == "/v1/requests":
            with self._lock:
                return json_response({"ids": list(self._dispatches)})
        if request.path == "/v1/orders":
            return self._order(request.json())
        if request.path == "/faults":
            self.faults.apply(request.json())
            return json_response({})
        if request.path == "/counts":
            return json_response(self._counts())
        return Response(404, b"no such path")

    def _complete(self, request):
        body = request.body(MAX_BODY_BYTES)
        if CRASH_MARKER in body:
            self._crash()
        fields = request.json(MAX_BODY_BYTES)
        request_id = request.header("X-Request-Id") or uuid.uuid4().hex
        if not self._loaded:
            return json_response({"error": {"message": "no weights"}}, status=503)
        with self._lock:
            self._dispatches[request_id] = self._dispatches.get(request_id, 0) + 1
        if self._should_fail(request.header("X-Route")):
            return json_response({"error": {"message": "engine fault"}}, status=500)
        sequence = Sequence(request_id, fields)
        with self._lock:
            self._sequences[request_id] = sequence
            while len(self._sequences) > MAX_KEPT_SEQUENCES:
                self._sequences.popitem(last=False)
        self._batch.submit(sequence)
        if fields.get("stream"):
            return self._stream(sequence, 0)
        return self._full_response(sequence)

    def _crash(self):
        # The delay lets other requests start here before the crash.
        time.sleep(0.05)
        os._exit(3)

    def _should_fail(self, route):
        if self.faults.value("failing_route", "") == route and route:
            return True
        return self._rng.random() < self.faults.value("failing", 0)

    def _stream(self, sequence, offset):
        headers = [("Content-Type", "text/event-stream")]
        return Response(200, self._chunks(sequence, offset), headers)

    def _chunks(self, sequence, offset):
        while True:
            data, done = self._batch.wait(sequence, offset, MAX_STREAM_WAIT_S)
            if data and self.faults.value("close_early") and sequence.tokens > 3:
                return
            if data:
                offset += len(data)
                yield data
            elif done:
                return

    def _full_response(self, sequence):
        self._batch.wait_done(sequence)
        if sequence.cancelled:
            return json_response({"error": {"message": "cancelled"}}, status=499)
        return json_response(sequence.response_body())

    def _resume(self, request_id, request):
        with self._lock:
            sequence = self._sequences.get(request_id)
        if sequence is None:
            return json_response({"error": {"message": "unknown id"}}, status=404)
        if not sequence.streamed:
            return self._full_response(sequence)
        return self._stream(sequence, int(request.query_param("offset", "0")))

    def _cancel(self, request_id):
        with self._lock:
            sequence = self._sequences.get(request_id)
        if sequence is None:
            return False
        return self._batch.cancel(sequence)

    def _order(self, order):
        fence = int(order.get("fence", 0))
        with self._lock:
            if self.options.fenced and fence < self._max_fence:
                return json_response({"error": {"message": "old fence"}}, status=409)
            self._max_fence = max(self._max_fence, fence)
            self._orders.append({**order, "at": time.time()})
            self._orders_in_progress += 1
            self._max_concurrent_orders = max(
                self._max_concurrent_orders, self._orders_in_progress
            )
        try:
            return self._execute_order(order)
        finally:
            with self._lock:
                self._orders_in_progress -= 1

    def _execute_order(self, order):
        if order.get("order") == "load" and self.options.weights:
            model, version = order["model"], order["version"]
            url = f"{self.options.weights}/weights/{model}/{version}"
            PoolManager().request("GET", url, timeout=60)
            self._loaded.add(version)
        return json_response({"loaded": sorted(self._loaded)})

    def _record_reports(self):
        while True:
            running, waiting = self._batch.load()
            report = {
                "running": running,
                "waiting": waiting,
                "incarnation": self.incarnation,
                "loaded": sorted(self._loaded),
            }
            self._reports.append((time.monotonic(), report))
            time.sleep(0.1)

    def _lagging_report(self):
        cut = time.monotonic() - self.options.lag
        chosen = {"running": 0, "waiting": 0, "incarnation": self.incarnation}
        for at, report in list(self._reports):
            if at <= cut:
                chosen = report
        evicted = self._batch.take_evicted(self._rng)
        return {**chosen, "evicted_blocks": evicted}

    def _counts(self):
        with self._lock:
            dispatches = dict(self._dispatches)
            orders = list(self._orders)
        return {
            "dispatches": dispatches,
            "orders": orders,
            "orders_at_once": self._max_concurrent_orders,
            "version": self.options.version,
            **self._batch.counts(),
        }

    @staticmethod
    def add_options(parser):
        """Add the options of this stand-in to a parser."""
        add = parser.add_argument
        add("--version-name", dest="version", default="v1", help="version it runs")
        add("--prefill", type=float, default=8000, help="prefill tokens a second")
        add("--pace", type=float, default=0.01, help="seconds a token at batch 1")
        add("--slots", type=int, default=8, help="sequences decoded at once")
        add("--cache-blocks", type=int, default=2000, help="prefix blocks kept")
        add("--lag", type=float, default=1.0, help="seconds the load report lags")
        add("--fenced", action="store_true", help="refuse old fencing numbers")
        add("--unloaded", action="store_true", help="start without its weights")
        add("--weights", default="", help="URL of the weight store")
        add("--seed", type=int, default=1, help="seed of its randomness")
