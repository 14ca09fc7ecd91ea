"""A client that caches the list of entry hosts, retries and resumes streams."""

import contextlib
import json
import time
import uuid
from dataclasses import dataclass, field

import urllib3
from urllib3.exceptions import ConnectTimeoutError, NewConnectionError

from lovagepier.http_pools import PoolManager, request_whole

__all__ = ["Caller", "CallerError", "Reply"]

CONNECT_TIMEOUT_S = 1.0
MAX_ATTEMPTS = 5
READ_GRACE_S = 1.0
DEFAULT_READ_TIMEOUT_S = 60.0
ENTRIES_TIMEOUT_S = 2.0
MAX_ENTRIES_BYTES = 1024 * 1024
RETRY_BACKOFF_S = 0.1
READ_BYTES = 65536
END_MARKER = b"data: [DONE]"


class CallerError(Exception):
    """No entry host could be reached, so nothing was run."""


@dataclass(slots=True)
class Reply:
    """The outcome of a request; times are in seconds from the call.

    `run` is whether a target has run the request: "no", "maybe" or "yes", by all
    sends. "no" is certain: no send was lost.
    `is_complete` is false if the answer was cut short. `attempts` counts the
    sends that may have reached an entry host. `gaps` are the times between
    chunks of the answer.
    """

    id: str
    status: int = 0
    run: str = "no"
    body: bytes = b""
    headers: dict = field(default_factory=dict)
    is_complete: bool = False
    first_byte_seconds: float | None = None
    total_seconds: float = 0.0
    attempts: int = 0
    gaps: list = field(default_factory=list)

    def note_run(self, stated):
        """Record what one send tells of `run`; "no" tells nothing of earlier sends."""
        if stated != "no" and self.run != "yes":
            self.run = stated

    def error_kind(self):
        """Return the error kind of an error response, or an empty string."""
        with contextlib.suppress(ValueError, AttributeError, UnicodeDecodeError):
            return json.loads(self.body).get("type", "").rpartition(":")[2]
        return ""


class Caller:
    """Sends requests of one account from one availability zone.

    `addresses` are URLs of any entry hosts, which are asked for the hosts to
    use. With `pinned` they are used as they are, in their order.
    """

    def __init__(self, addresses, key, zone="", pinned=False):
        self._addresses = list(addresses)
        self._pinned = pinned
        self._key = key
        self._zone = zone
        self._entries = []
        self._entries_expire_at = 0.0
        self._http = PoolManager(num_pools=32, maxsize=64, retries=False, block=False)

    def entries(self):
        """Return the URLs of the entry hosts to use, preferred first.

        The list is fetched again once its time to live is over; while no entry
        host answers, the old list stays in use. Raise `CallerError` if there is
        no list yet.
        """
        if self._pinned:
            return self._addresses
        if time.monotonic() < self._entries_expire_at and self._entries:
            return self._entries
        for address in [*self._entries, *self._addresses]:
            try:
                status, _, data = request_whole(
                    self._http,
                    "GET",
                    f"{address}/v1/entries?zone={self._zone}",
                    MAX_ENTRIES_BYTES,
                    CONNECT_TIMEOUT_S + ENTRIES_TIMEOUT_S,
                    headers=self._headers(),
                    timeout=urllib3.Timeout(
                        connect=CONNECT_TIMEOUT_S, read=ENTRIES_TIMEOUT_S
                    ),
                )
                body = json.loads(data)
            except (urllib3.exceptions.HTTPError, ValueError):
                continue
            if status == 200 and body["entries"]:
                self._entries = [entry["address"] for entry in body["entries"]]
                self._entries_expire_at = time.monotonic() + body["ttl_seconds"]
                return self._entries
        if self._entries:
            return self._entries
        raise CallerError("no entry host answers")

    def _headers(self, **more):
        return {"Authorization": f"Bearer {self._key}", **more}

    def complete(
        self, fields, deadline_ms=None, tier="", route="", request_id="", attempts=0
    ):
        """Send a model request; return a `Reply`.

        After a lost connection, sends the request again under the same id and
        resumes the answer. `attempts` is how often the id was sent before.
        """
        headers = {"Content-Type": "application/json"}
        if deadline_ms:
            headers["X-Deadline-Ms"] = str(deadline_ms)
        if tier:
            headers["X-Tier"] = tier
        if route:
            headers["X-Route"] = route
        body = json.dumps(fields).encode()
        streamed = bool(fields.get("stream"))
        path = "/v1/chat/completions"
        return self._send("POST", path, body, headers, streamed, request_id, attempts)

    def record(self, method, path, body=b"", key="", deadline_ms=None):
        """Call a plain service; return a `Reply`.

        `key` is the idempotency key, which makes it safe to resend a write.
        """
        headers = {}
        if key:
            headers["Idempotency-Key"] = key
        if deadline_ms:
            headers["X-Deadline-Ms"] = str(deadline_ms)
        return self._send(method, f"/records{path}", body, headers, False, "")

    def _send(self, method, path, body, headers, streamed, request_id, attempts=0):
        reply = Reply(request_id or uuid.uuid4().hex, attempts=attempts)
        started = time.monotonic()
        for attempt in range(MAX_ATTEMPTS):
            entries = self.entries()
            address = entries[attempt % len(entries)]
            attempt_headers = {
                **self._headers(**headers),
                "X-Request-Id": reply.id,
                "X-Attempt": str(reply.attempts),
                "X-Resume-Offset": str(len(reply.body)),
            }
            if self._try_once(
                reply, method, address + path, body, attempt_headers, streamed, started
            ):
                break
            self._entries_expire_at = 0.0
            time.sleep(RETRY_BACKOFF_S * (attempt + 1))
        reply.total_seconds = time.monotonic() - started
        return reply

    def _try_once(self, reply, method, url, body, headers, streamed, started):
        """Send the request once; return whether the reply is final."""
        # The read timeout bounds the wait for a hung entry host, which accepts
        # the connection but never answers.
        limit = headers.get("X-Deadline-Ms")
        read_timeout = float(limit) / 1000 if limit else DEFAULT_READ_TIMEOUT_S
        read_timeout += READ_GRACE_S
        try:
            resp = self._http.request(
                method,
                url,
                body=body,
                headers=headers,
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=read_timeout),
                preload_content=False,
                redirect=False,
            )
        except (NewConnectionError, ConnectTimeoutError):
            # Nothing was sent, so the next attempt does not count as a resend.
            return False
        except urllib3.exceptions.HTTPError:
            reply.attempts += 1
            reply.note_run("maybe")
            return False
        reply.attempts += 1
        received = reply.body
        if resp.status != 200:
            received = b""
        reply.status = resp.status
        reply.headers = dict(resp.headers)
        reply.note_run(resp.headers.get("X-Run", "maybe"))
        reply.body = received
        try:
            self._read(reply, resp, started)
        except urllib3.exceptions.HTTPError:
            resp.close()
            return False
        reply.is_complete = (
            not streamed or resp.status != 200 or self._has_end_marker(reply)
        )
        return reply.is_complete

    def _read(self, reply, resp, started):
        last = None
        for chunk in resp.stream(READ_BYTES, decode_content=False):
            now = time.monotonic()
            if reply.first_byte_seconds is None:
                reply.first_byte_seconds = now - started
            elif last is not None:
                reply.gaps.append(now - last)
            last = now
            reply.body += chunk
        resp.release_conn()

    def _has_end_marker(self, reply):
        return reply.body.rstrip().endswith(END_MARKER)
