"""Stand-in for the key-value store: the JSON gateway of etcd v3, in memory."""

import base64
import json
import threading
import time

from lovagepier.standins._faults import Faults
from lovagepier.standins._registry import standin
from lovagepier.web import Response, json_response

__all__ = ["KeyValueStandin"]

MAX_VALUE_BYTES = 1 << 20
MAX_BODY_BYTES = 8 << 20
WATCH_POLL_S = 0.05


class _Item:
    __slots__ = ("create", "lease", "mod", "value")

    def __init__(self, value, create, mod, lease):
        self.value = value
        self.create = create
        self.mod = mod
        self.lease = lease


class _RateLimit:
    """Limits the calls in each second of the clock and counts them."""

    __slots__ = ("count", "limit", "peak", "refused", "second", "total")

    def __init__(self, limit):
        self.limit = limit
        self.second = 0
        self.count = 0
        self.total = 0
        self.peak = 0
        self.refused = 0

    def try_acquire(self):
        second = int(time.monotonic())
        if second != self.second:
            self.second = second
            self.count = 0
        self.count += 1
        self.total += 1
        self.peak = max(self.peak, self.count)
        if self.count > self.limit:
            self.refused += 1
            return False
        return True


@standin("kv")
class KeyValueStandin:
    """Compare-and-swap, leases that expire, watches, rates and faults.

    Faults: `down` (503), `slow` (seconds of delay), `lost` (a write takes
    effect, but its answer is replaced by a 504).
    """

    def __init__(self, options):
        self._items = {}
        self._leases = {}
        self._revision = 1
        self._next_lease = 100
        self._changed = threading.Condition()
        self._writes = _RateLimit(options.writes)
        self._reads = _RateLimit(options.reads)
        self._watches = 0
        self.faults = Faults()
        self._routes = {
            "/v3/kv/range": (self._range, self._reads),
            "/v3/kv/txn": (self._txn, self._writes),
            "/v3/kv/put": (self._put_request, self._writes),
            "/v3/lease/grant": (self._grant, self._writes),
            "/v3/lease/keepalive": (self._keepalive, self._writes),
            "/v3/lease/revoke": (self._revoke, self._writes),
        }

    def handle(self, request):
        """Serve the calls of the gateway, fault injection and counters."""
        if request.path == "/faults":
            self.faults.apply(request.json())
            return json_response({})
        if request.path == "/counts":
            return json_response(self._counts())
        if self.faults.value("down"):
            return Response(503, b"down")
        time.sleep(self.faults.value("slow", 0))
        if request.path == "/v3/watch":
            return self._watch(request.json(MAX_BODY_BYTES))
        call, rate = self._routes.get(request.path, (None, None))
        if call is None:
            return Response(404, b"no such call")
        with self._changed:
            if not rate.try_acquire():
                return Response(429, b"too many calls")
            self._expire_leases()
            answer = call(request.json(MAX_BODY_BYTES))
            self._changed.notify_all()
        if self.faults.value("lost") and rate is self._writes:
            return Response(504, b"the answer was lost")
        if isinstance(answer, Response):
            return answer
        answer.setdefault("header", {"revision": str(self._revision)})
        return json_response(answer)

    def _counts(self):
        return {
            "reads": self._reads.total,
            "writes": self._writes.total,
            "peak_reads": self._reads.peak,
            "peak_writes": self._writes.peak,
            "refused": self._reads.refused + self._writes.refused,
            "watches": self._watches,
            "keys": len(self._items),
        }

    def _expire_leases(self):
        now = time.monotonic()
        for lease, (_, until) in list(self._leases.items()):
            if until <= now:
                self._end_lease(lease)

    def _end_lease(self, lease):
        del self._leases[lease]
        for key in [k for k, item in self._items.items() if item.lease == lease]:
            self._revision += 1
            del self._items[key]

    def _encode_item(self, key):
        item = self._items[key]
        return {
            "key": base64.b64encode(key).decode(),
            "value": base64.b64encode(item.value).decode(),
            "create_revision": str(item.create),
            "mod_revision": str(item.mod),
            "lease": str(item.lease),
        }

    def _range(self, body):
        key = base64.b64decode(body["key"])
        end = base64.b64decode(body.get("range_end", ""))
        if end:
            keys = sorted(k for k in self._items if key <= k < end)
        else:
            keys = [key] if key in self._items else []
        if body.get("sort_order") == "DESCEND":
            keys.reverse()
        limit = int(body.get("limit", 0))
        chosen = keys[:limit] if limit else keys
        return {"kvs": [self._encode_item(k) for k in chosen], "count": str(len(keys))}

    def _holds(self, compare):
        key = base64.b64decode(compare["key"])
        item = self._items.get(key)
        if compare["target"] == "MOD":
            actual, expected = item.mod if item else 0, compare["mod_revision"]
        else:
            actual, expected = item.create if item else 0, compare["create_revision"]
        return actual == int(expected)

    def _txn(self, body):
        held = all(self._holds(compare) for compare in body.get("compare", []))
        operations = body.get("success" if held else "failure", [])
        for operation in operations:
            put = operation.get("request_put", {})
            if len(base64.b64decode(put.get("value", ""))) > MAX_VALUE_BYTES:
                return Response(400, b"the value is too large")
        if operations:
            self._revision += 1
        for operation in operations:
            self._apply_operation(operation)
        return {"succeeded": held}

    def _apply_operation(self, operation):
        if "request_put" in operation:
            self._put(operation["request_put"])
        elif "request_delete_range" in operation:
            key = base64.b64decode(operation["request_delete_range"]["key"])
            self._items.pop(key, None)

    def _put(self, body):
        key = base64.b64decode(body["key"])
        value = base64.b64decode(body.get("value", ""))
        lease = int(body.get("lease", 0))
        old = self._items.get(key)
        create = old.create if old else self._revision
        self._items[key] = _Item(value, create, self._revision, lease)

    def _put_request(self, body):
        self._revision += 1
        self._put(body)
        return {}

    def _grant(self, body):
        self._next_lease += 1
        seconds = int(body["TTL"])
        self._leases[self._next_lease] = (seconds, time.monotonic() + seconds)
        return {"ID": str(self._next_lease), "TTL": str(seconds)}

    def _keepalive(self, body):
        lease = int(body["ID"])
        if lease not in self._leases:
            return {"result": {"ID": str(lease), "TTL": "0"}}
        seconds, _ = self._leases[lease]
        self._leases[lease] = (seconds, time.monotonic() + seconds)
        return {"result": {"ID": str(lease), "TTL": str(seconds)}}

    def _revoke(self, body):
        if int(body["ID"]) in self._leases:
            self._end_lease(int(body["ID"]))
        return {}

    def _watch(self, body):
        with self._changed:
            if not self._reads.try_acquire():
                return Response(429, b"too many calls")
            self._watches += 1
        create = body["create_request"]
        key = base64.b64decode(create["key"])
        start = int(create.get("start_revision", 0))
        return Response(200, self._watch_lines(key, start))

    def _watch_lines(self, key, start):
        yield json.dumps({"result": {"created": True}}).encode() + b"\n"
        while not self.faults.value("down"):
            with self._changed:
                self._changed.wait(WATCH_POLL_S)
                self._expire_leases()
                item = self._items.get(key)
                if item is None or item.mod < start:
                    continue
                event = {"kv": self._encode_item(key)}
                start = item.mod + 1
            yield json.dumps({"result": {"events": [event]}}).encode() + b"\n"

    @staticmethod
    def add_options(parser):
        """Add the options of this stand-in to a parser."""
        parser.add_argument("--writes", type=int, default=300, help="writes a second")
        parser.add_argument("--reads", type=int, default=2000, help="reads a second")
