"""The one client of the platform's store; blocking, for actor threads."""

import base64
import json
from dataclasses import dataclass
from urllib.parse import urlencode

import urllib3
from result import Err, Ok

__all__ = ["Event", "Item", "PlatformStore", "StoreFault"]

# A call that no answer came to may have been executed; see `StoreFault`.
CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5
# What the answer to a long poll may take beyond the time asked for.
WATCH_MARGIN_S = 0.6
PAGE_GUARD = 10_000


@dataclass(slots=True, frozen=True)
class Item:
    """One key of the store; `revision` of its last change, `create_revision` of its first."""

    key: str
    value: bytes
    revision: int
    create_revision: int


@dataclass(slots=True, frozen=True)
class Event:
    """A change: the key's new `Item`, or None where it was deleted."""

    key: str
    revision: int
    item: Item | None


class StoreFault(Exception):
    """Why a call failed.

    `status` is the HTTP status, 0 without an answer. `done` is "no" where
    the store states that nothing was done, "maybe" otherwise.
    """

    def __init__(self, status, why):
        super().__init__(f"{status or 'no answer'}: {why}")
        self.status = status
        self.done = "no" if status in (404, 410, 412, 429, 503) else "maybe"


def _item(raw):
    return Item(
        str(raw["key"]),
        base64.b64decode(raw["value"]),
        int(raw["revision"]),
        int(raw["created_rev"]),
    )


def _event(raw):
    gone = bool(raw.get("deleted"))
    return Event(str(raw["key"]), int(raw["revision"]), None if gone else _item(raw))


class PlatformStore:
    """Reads, watches, leases and conditional writes; each returns a `Result`.

    No call is repeated here. Use one object a thread.
    """

    def __init__(self, address):
        self._url = f"http://{address[0]}:{address[1]}"
        self._http = urllib3.PoolManager(maxsize=1, retries=False)

    def _call(self, method, path, body=None, read_s=CALL_TIMEOUT_S):
        headers = {"Content-Type": "application/json"} if body is not None else {}
        try:
            resp = self._http.request(
                method,
                self._url + path,
                body=None if body is None else json.dumps(body).encode(),
                headers=headers,
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=read_s),
                retries=False,
                redirect=False,
            )
        except urllib3.exceptions.HTTPError as exc:
            # The pool may hold a connection that went silent: start anew.
            self._http.clear()
            return Err(StoreFault(0, type(exc).__name__))
        if resp.status != 200:
            return Err(StoreFault(resp.status, resp.data[:200].decode("latin-1")))
        try:
            return Ok(json.loads(resp.data))
        except ValueError:
            return Err(StoreFault(0, "the answer is not JSON"))

    def scan(self, prefix):
        """Return Ok((items, revision)); later changes follow that revision."""
        items = []
        as_of = None
        after = ""
        for _ in range(PAGE_GUARD):
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            answer = self._call("GET", f"/kv-range?{urlencode(query)}")
            if isinstance(answer, Err):
                return answer
            page = answer.ok_value
            try:
                items += [_item(raw) for raw in page["items"]]
                as_of = int(page["as_of"]) if as_of is None else as_of
            except (KeyError, TypeError, ValueError) as exc:
                return Err(StoreFault(0, f"malformed page: {exc}"))
            if not page.get("has_more") or not page["items"]:
                break
            after = items[-1].key
        return Ok((items, as_of))

    def watch(self, prefix, after, wait_s):
        """Return Ok((events, revision)) of changes after a revision."""
        query = {"prefix": prefix, "after": after, "wait_ms": int(wait_s * 1000)}
        answer = self._call(
            "GET", f"/kv-watch?{urlencode(query)}", read_s=wait_s + WATCH_MARGIN_S
        )
        if isinstance(answer, Err):
            return answer
        raw = answer.ok_value
        try:
            return Ok(([_event(row) for row in raw["events"]], int(raw["as_of"])))
        except (KeyError, TypeError, ValueError) as exc:
            return Err(StoreFault(0, f"malformed events: {exc}"))

    def put(self, key, value, expected=None, lease=0):
        """Write a key, if it is at revision `expected` where that is given."""
        rows = [] if expected is None else [{"key": key, "revision": expected}]
        text = base64.b64encode(value).decode()
        write = {"key": key, "value": text, "lease": lease}
        body = {"expected": rows, "writes": [write], "remove": []}
        return self._call("POST", "/kv-txn", body).map(lambda raw: raw["revision"])

    def grant_lease(self, seconds):
        """Return Ok((lease, seconds that apply))."""
        answer = self._call("POST", "/kv-lease", {"ttl_ms": int(seconds * 1000)})
        return answer.map(lambda raw: (int(raw["lease"]), raw["ttl_ms"] / 1000.0))

    def renew_lease(self, lease):
        """Renew a lease; Err with status 404 where it has ended."""
        return self._call("POST", f"/kv-keep/{lease}", {})

    def revoke_lease(self, lease):
        """End a lease and so remove its keys."""
        return self._call("DELETE", f"/kv-lease-end/{lease}")
