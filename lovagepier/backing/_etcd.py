"""The key-value store adapter for the JSON gateway of etcd v3.

Message format: https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/
"""

import base64
import json
import threading
import time

import urllib3

from lovagepier.backing._port import (
    MAX_ANSWER_BYTES,
    MAX_ANSWER_TIMEOUTS,
    Delete,
    KeyValue,
    Put,
    Store,
    StoreError,
    TxnResult,
    register_store,
)
from lovagepier.http_pools import PoolManager, request_whole

__all__ = ["EtcdStore"]

_COMPARE_FIELDS = {
    "mod": ("MOD", "mod_revision"),
    "create": ("CREATE", "create_revision"),
}


def _encode(text):
    data = text if isinstance(text, bytes) else text.encode()
    return base64.b64encode(data).decode()


def _prefix_end(prefix):
    data = prefix.encode()
    return data[:-1] + bytes([data[-1] + 1])


def _key_value(raw):
    return KeyValue(
        base64.b64decode(raw["key"]).decode(),
        base64.b64decode(raw.get("value", "")),
        int(raw.get("create_revision", 0)),
        int(raw.get("mod_revision", 0)),
        int(raw.get("lease", 0)),
    )


class _CallRateLimiter:
    """A token bucket that limits a node's calls a second to the store."""

    __slots__ = ("_refilled_at", "_tokens", "_lock", "_rate")

    def __init__(self, rate):
        self._rate = rate
        self._tokens = float(rate)
        self._refilled_at = time.monotonic()
        self._lock = threading.Lock()

    def try_acquire(self):
        """Count one call; return whether the rate limit allows it."""
        with self._lock:
            now = time.monotonic()
            gained = (now - self._refilled_at) * self._rate
            self._tokens = min(self._tokens + gained, float(self._rate))
            self._refilled_at = now
            if self._tokens < 1.0:
                return False
            self._tokens -= 1.0
            return True


@register_store("etcd")
class EtcdStore(Store):
    """Makes one rate-limited HTTP call for each operation, without retries."""

    def __init__(self, cfg):
        self._url = cfg.platform_store
        self._timeout = cfg.platform_timeout
        self._limiter = _CallRateLimiter(cfg.platform_calls_per_second)
        self._http = PoolManager(maxsize=8, retries=False)
        self.calls = 0

    def _call(self, path, body, timeout=None):
        if not self._limiter.try_acquire():
            raise StoreError("this node's rate of calls is used up")
        self.calls += 1
        limit = self._timeout if timeout is None else timeout
        try:
            status, _, data = request_whole(
                self._http,
                "POST",
                f"{self._url}/v3/{path}",
                MAX_ANSWER_BYTES,
                limit * MAX_ANSWER_TIMEOUTS,
                body=json.dumps(body).encode(),
                headers={"Content-Type": "application/json"},
                timeout=urllib3.Timeout(connect=self._timeout, read=limit),
                retries=False,
                redirect=False,
            )
        except urllib3.exceptions.HTTPError as exc:
            raise StoreError(f"the store did not answer: {type(exc).__name__}")
        if status != 200:
            raise StoreError(f"the store answered {status}")
        try:
            return json.loads(data)
        except ValueError:
            raise StoreError("the store's answer is not JSON")

    def get(self, key):
        """Return the `KeyValue` at `key`, or None."""
        found = self._call("kv/range", {"key": _encode(key)}).get("kvs", [])
        return _key_value(found[0]) if found else None

    def range(self, prefix, limit=0, newest_first=False):
        """Return the `KeyValue` items whose keys begin with `prefix`."""
        body = {
            "key": _encode(prefix),
            "range_end": _encode(_prefix_end(prefix)),
            "limit": limit,
        }
        if newest_first:
            body["sort_order"] = "DESCEND"
            body["sort_target"] = "KEY"
        return [_key_value(raw) for raw in self._call("kv/range", body).get("kvs", [])]

    def txn(self, compares, operations):
        """Apply `operations` atomically if all `compares` hold; return `TxnResult`."""
        body = {
            "compare": [self._compare(item) for item in compares],
            "success": [self._operation(item) for item in operations],
            "failure": [],
        }
        answer = self._call("kv/txn", body)
        revision = int(answer.get("header", {}).get("revision", 0))
        return TxnResult(bool(answer.get("succeeded", False)), revision)

    def _compare(self, item):
        target, field = _COMPARE_FIELDS[item.revision_kind]
        return {
            "key": _encode(item.key),
            "target": target,
            "result": "EQUAL",
            field: str(item.revision),
        }

    def _operation(self, item):
        if isinstance(item, Delete):
            return {"request_delete_range": {"key": _encode(item.key)}}
        assert isinstance(item, Put)
        put = {"key": _encode(item.key), "value": _encode(item.value)}
        if item.lease:
            put["lease"] = str(item.lease)
        return {"request_put": put}

    def lease_grant(self, seconds):
        """Return the id of a new lease that expires after `seconds`."""
        return int(self._call("lease/grant", {"TTL": str(int(seconds))})["ID"])

    def lease_keepalive(self, lease):
        """Renew a lease; return the remaining seconds, 0 if it has expired."""
        answer = self._call("lease/keepalive", {"ID": str(lease)})
        return int(answer.get("result", {}).get("TTL", 0))

    def lease_revoke(self, lease):
        """Revoke a lease, which deletes the keys bound to it."""
        self._call("lease/revoke", {"ID": str(lease)})

    def watch(self, key, revision, timeout):
        """Return the first `KeyValue` of `key` after `revision`, or None on timeout."""
        if not self._limiter.try_acquire():
            raise StoreError("this node's rate of calls is used up")
        self.calls += 1
        create = {"key": _encode(key), "start_revision": str(revision + 1)}
        try:
            resp = self._http.request(
                "POST",
                f"{self._url}/v3/watch",
                body=json.dumps({"create_request": create}).encode(),
                timeout=urllib3.Timeout(connect=self._timeout, read=timeout),
                retries=False,
                preload_content=False,
            )
        except urllib3.exceptions.HTTPError as exc:
            raise StoreError(f"the watch failed: {type(exc).__name__}")
        try:
            return self._first_event(resp)
        finally:
            resp.close()

    def _first_event(self, resp):
        if resp.status != 200:
            raise StoreError(f"the store answered {resp.status}")
        pending = b""
        try:
            for chunk in resp.stream(amt=None, decode_content=False):
                pending += chunk
                if len(pending) > MAX_ANSWER_BYTES:
                    raise StoreError("the watch sent an event without end")
                *lines, pending = pending.split(b"\n")
                for line in filter(None, lines):
                    for event in json.loads(line)["result"].get("events", []):
                        return _key_value(event["kv"])
        except urllib3.exceptions.ReadTimeoutError:
            return None
        except (urllib3.exceptions.HTTPError, ValueError, KeyError) as exc:
            raise StoreError(f"the watch broke: {type(exc).__name__}")
        raise StoreError("the watch ended")
