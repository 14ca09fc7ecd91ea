"""Blocking client of the platform's store, for use in actor threads."""

import base64
import json
import time
from dataclasses import dataclass
from urllib.parse import urlencode

import urllib3
from result import Err, Ok

from lovagepier.http_pools import PoolManager, ResponseTooLong, read_whole
from lovagepier.logs import component_logger
from lovagepier.platform._malformed import MALFORMED
from lovagepier.platform._revisions import era_of, make_revision, number_of

__all__ = ["Event", "Item", "PlatformStore", "StoreFault"]

# After a timeout the call may still have been executed; see `StoreFault`.
CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5
# Extra time for the response to a long poll, beyond its wait time.
WATCH_MARGIN_S = 0.6
# A page holds about 1 MB, and a watch may report several changes of a large document.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# How long the body of an answer may take beyond the call's timeout.
MAX_ANSWER_S = 3.0
READ_CHUNK_BYTES = 64 * 1024
# Bounds a scan in case the store reports more pages forever.
MAX_PAGES = 10_000
_ERA = "Store-Era"
MAX_ERA_DIGITS = 15
_GONE = 410
_PRECONDITION_FAILED = 412

_log = component_logger("platform")


@dataclass(slots=True, frozen=True)
class Item:
    """One key of the store, with the revisions of its last and first write.

    See `make_revision` for how revisions of several eras compare.
    """

    key: str
    value: bytes
    revision: int
    create_revision: int


@dataclass(slots=True, frozen=True)
class Event:
    """A change of one key: its new `Item`, or None if it was deleted."""

    key: str
    revision: int
    item: Item | None


class StoreFault(Exception):
    """A failed call to the store.

    `status` is the HTTP status, 0 without a valid response. `executed` is "no" if
    the status means that the store did not execute the call, "maybe" otherwise.
    `is_unreadable` tells that the store answered, but not in a form or length that can
    be read: the same call may get the same answer for ever.
    """

    def __init__(self, status, why, is_unreadable=False):
        super().__init__(f"{status or 'no answer'}: {why}")
        self.status = status
        self.is_unreadable = is_unreadable
        self.executed = "no" if status in (404, 410, 412, 429, 503) else "maybe"


def _item(raw, era):
    return Item(
        _key(raw),
        _value(raw),
        make_revision(era, int(raw["revision"])),
        make_revision(era, int(raw["created_rev"])),
    )


def _key(raw):
    if not isinstance(raw["key"], str):
        raise ValueError("the key is not a text")
    return raw["key"]


def _value(raw):
    """Return the bytes of an item; none if they can't be read, which name nothing."""
    try:
        return base64.b64decode(raw["value"], validate=True)
    except MALFORMED as exc:
        _log.warning("could not read a value of the store", why=type(exc).__name__)
        return b""


def _event(raw, era):
    revision = make_revision(era, int(raw["revision"]))
    item = None if raw.get("deleted") else _item(raw, era)
    return Event(_key(raw), revision, item)


def _readable(rows, read, era):
    """Return what `read` makes of each row, without those that can't be read."""
    found = []
    for raw in rows:
        try:
            found.append(read(raw, era))
        except MALFORMED as exc:
            _log.warning("skipped a row of the store", why=type(exc).__name__)
    return found


def _last_key(rows):
    """Return the last key of a page; raise ValueError if no row has one."""
    for raw in reversed(rows):
        if isinstance(raw, dict) and isinstance(raw.get("key"), str):
            return raw["key"]
    raise ValueError("a page without keys")


def _field(result, read):
    """Return a result with what `read` finds in it, or Err for a malformed answer."""
    if isinstance(result, Err):
        return result
    try:
        return Ok(read(result.ok_value))
    except MALFORMED as exc:
        return Err(StoreFault(0, f"malformed answer: {exc}", is_unreadable=True))


class PlatformStore:
    """Reads, watches, leases and conditional writes of the store.

    Each method returns a `Result` whose error is a `StoreFault`. No call is
    retried. Not thread-safe: use one object per thread.

    `era` is the highest era that an answer stated; it rises each time the store comes
    back from an older copy.
    """

    def __init__(self, address):
        self.era = 0
        self._url = f"http://{address[0]}:{address[1]}"
        self._http = PoolManager(maxsize=1, retries=False)

    def _call(self, method, path, body=None, read_s=CALL_TIMEOUT_S):
        headers = {"Content-Type": "application/json"} if body is not None else {}
        until = time.monotonic() + CONNECT_TIMEOUT_S + read_s + MAX_ANSWER_S
        try:
            resp = self._http.request(
                method,
                self._url + path,
                body=None if body is None else json.dumps(body).encode(),
                headers=headers,
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=read_s),
                retries=False,
                redirect=False,
                preload_content=False,
            )
            data = read_whole(resp, MAX_ANSWER_BYTES, until)
        except urllib3.exceptions.HTTPError as exc:
            # The connection may be dead: the next call has to open a new one.
            self._http.clear()
            is_unreadable = isinstance(exc, ResponseTooLong)
            return Err(StoreFault(0, type(exc).__name__, is_unreadable))
        if self._note_era(resp.headers.get(_ERA)) < self.era:
            return Err(StoreFault(0, "an answer of an earlier era"))
        if resp.status != 200:
            return Err(StoreFault(resp.status, data[:200].decode("latin-1")))
        try:
            return Ok(json.loads(data))
        except (ValueError, RecursionError):
            return Err(StoreFault(0, "the answer is not JSON", is_unreadable=True))

    def _note_era(self, stated):
        """Return the era that an answer stated, the known one if none can be read."""
        text = (stated or "").strip()
        # Other scripts have digits that `int` does not read.
        is_number = text.isascii() and text.isdigit() and len(text) <= MAX_ERA_DIGITS
        era = int(text) if is_number else self.era
        self.era = max(era, self.era)
        return era

    def scan(self, prefix):
        """Return Ok((items, revision)) of all keys with `prefix`.

        The revision is that of the first page: watch the changes after it to
        complete later pages. All pages are of one era.
        """
        items = []
        as_of = None
        era = None
        after = ""
        for _ in range(MAX_PAGES):
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            # A key may hold what can't be encoded otherwise.
            text = urlencode(query, errors="surrogatepass")
            result = self._call("GET", f"/kv-range?{text}")
            if isinstance(result, Err):
                return result
            page = result.ok_value
            if era is not None and era != self.era:
                return Err(StoreFault(0, "the era changed during a scan"))
            era = self.era
            try:
                rows = page["items"]
                items += _readable(rows, _item, era)
                if as_of is None:
                    as_of = make_revision(era, int(page["as_of"]))
                if not page.get("has_more") or not rows:
                    break
                after = _last_key(rows)
            except MALFORMED as exc:
                return Err(StoreFault(0, f"malformed page: {exc}"))
        return Ok((items, as_of))

    def watch(self, prefix, after, wait_s):
        """Return Ok((events, revision)) of changes after revision `after`.

        Waits up to `wait_s` for a change; the list is empty without one. Err with
        status 410 means that the store no longer has that history, or that it is of
        an earlier era.
        """
        number = number_of(after)
        query = {"prefix": prefix, "after": number, "wait_ms": int(wait_s * 1000)}
        result = self._call(
            "GET", f"/kv-watch?{urlencode(query)}", read_s=wait_s + WATCH_MARGIN_S
        )
        if isinstance(result, Err):
            return result
        era = self.era
        if era != era_of(after):
            return Err(StoreFault(_GONE, "the history is of an earlier era"))
        return _field(
            result,
            lambda raw: (
                _readable(raw["events"], _event, era),
                make_revision(era, int(raw["as_of"])),
            ),
        )

    def put(self, key, value, expected=None, lease=0):
        """Write a key; return Ok(revision).

        With `expected` the write succeeds only if the key is at that revision, 0
        for a missing key; Err has status 412 otherwise. The key is removed at the
        end of `lease`, unless that is 0.

        A revision of an earlier era says nothing of this one, in which the store may
        give out its number again. If the era changes during the call, the condition
        may have held by accident: Err then has status 0.
        """
        if expected and era_of(expected) < self.era:
            return Err(
                StoreFault(_PRECONDITION_FAILED, "a condition of an earlier era")
            )
        rows = []
        if expected is not None:
            rows = [{"key": key, "revision": number_of(expected)}]
        text = base64.b64encode(value).decode()
        write = {"key": key, "value": text, "lease": lease}
        body = {"expected": rows, "writes": [write], "remove": []}
        result = self._call("POST", "/kv-txn", body)
        if expected and isinstance(result, Ok) and era_of(expected) != self.era:
            return Err(StoreFault(0, "the era changed during a conditional write"))
        return _field(result, lambda raw: make_revision(self.era, int(raw["revision"])))

    def grant_lease(self, seconds):
        """Return Ok((lease id, its actual duration in seconds))."""
        result = self._call("POST", "/kv-lease", {"ttl_ms": int(seconds * 1000)})
        return _field(result, lambda raw: (int(raw["lease"]), raw["ttl_ms"] / 1000.0))

    def renew_lease(self, lease):
        """Renew a lease; Err has status 404 if it has expired."""
        return self._call("POST", f"/kv-keep/{lease}", {})

    def revoke_lease(self, lease):
        """Revoke a lease, which removes its keys."""
        return self._call("DELETE", f"/kv-lease-end/{lease}")
