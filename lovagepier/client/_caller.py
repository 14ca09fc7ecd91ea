"""Ask for entries, keep them for their time to live, connect, stream, resume."""

import contextlib
import json
import time
import uuid
from dataclasses import dataclass, field

import urllib3
from urllib3.exceptions import ConnectTimeoutError, NewConnectionError

__all__ = ["Caller", "CallerError", "Reply"]

CONNECT_TIMEOUT_S = 1.0
MAX_ATTEMPTS = 5
ANSWER_GRACE_S = 1.0
DEFAULT_PATIENCE_S = 60.0
PAUSE_S = 0.1
READ_BYTES = 65536
END_MARK = b"data: [DONE]"


class CallerError(Exception):
    """No entry host could be reached; nothing was run."""


@dataclass(slots=True)
class Reply:
    """What came back: status, `run` (no, maybe, yes), body, times in seconds.

    `is_complete` tells whether the answer has its end. `attempts` counts the sends
    that reached an entry host.
    """

    id: str
    status: int = 0
    run: str = "no"
    body: bytes = b""
    headers: dict = field(default_factory=dict)
    is_complete: bool = False
    first_seconds: float | None = None
    total_seconds: float = 0.0
    attempts: int = 0
    gaps: list = field(default_factory=list)

    def error_kind(self):
        """Return the error kind of a refusal, or an empty string."""
        with contextlib.suppress(ValueError, AttributeError, UnicodeDecodeError):
            return json.loads(self.body).get("type", "").rpartition(":")[2]
        return ""


class Caller:
    """One account's caller in one availability zone.

    `pinned` uses the given addresses as they are, in their order, without
    asking which to use.
    """

    def __init__(self, addresses, key, zone="", pinned=False):
        self._addresses = list(addresses)
        self._pinned = pinned
        self._key = key
        self._zone = zone
        self._entries = []
        self._until = 0.0
        self._http = urllib3.PoolManager(
            num_pools=32, maxsize=64, retries=False, block=False
        )

    def entries(self):
        """Return the addresses to use, asked anew after their time to live."""
        if self._pinned:
            return self._addresses
        if time.monotonic() < self._until and self._entries:
            return self._entries
        for door in [*self._entries, *self._addresses]:
            try:
                resp = self._http.request(
                    "GET",
                    f"{door}/v1/entries?zone={self._zone}",
                    headers=self._headers(),
                    timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=2.0),
                )
                body = json.loads(resp.data)
            except (urllib3.exceptions.HTTPError, ValueError):
                continue
            if resp.status == 200 and body["entries"]:
                self._entries = [entry["address"] for entry in body["entries"]]
                self._until = time.monotonic() + body["ttl_seconds"]
                return self._entries
        if self._entries:
            return self._entries
        raise CallerError("no entry host answers")

    def _headers(self, **more):
        return {"Authorization": f"Bearer {self._key}", **more}

    def complete(
        self, fields, deadline_ms=None, tier="", route="", request_id="", attempts=0
    ):
        """Send a model request; follow a lost connection under the same id.

        `attempts` says how often the id was sent before.
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
        """Call a plain service; `key` makes a write safe to send again."""
        headers = {}
        if key:
            headers["Idempotency-Key"] = key
        if deadline_ms:
            headers["X-Deadline-Ms"] = str(deadline_ms)
        return self._send(method, f"/records{path}", body, headers, False, "")

    def _send(self, method, path, body, headers, streamed, request_id, attempts=0):
        reply = Reply(request_id or uuid.uuid4().hex, attempts=attempts)
        began = time.monotonic()
        for attempt in range(MAX_ATTEMPTS):
            entries = self.entries()
            address = entries[attempt % len(entries)]
            sent = {
                **self._headers(**headers),
                "X-Request-Id": reply.id,
                "X-Attempt": str(reply.attempts),
                "X-Resume-Offset": str(len(reply.body)),
            }
            if self._once(reply, method, address + path, body, sent, streamed, began):
                break
            self._until = 0.0
            time.sleep(PAUSE_S * (attempt + 1))
        reply.total_seconds = time.monotonic() - began
        return reply

    def _once(self, reply, method, url, body, headers, streamed, began):
        """Try one time; return whether the reply is final."""
        # An entry host that is frozen accepts and never answers.
        limit = headers.get("X-Deadline-Ms")
        patience = float(limit) / 1000 if limit else DEFAULT_PATIENCE_S
        patience += ANSWER_GRACE_S
        try:
            resp = self._http.request(
                method,
                url,
                body=body,
                headers=headers,
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=patience),
                preload_content=False,
                redirect=False,
            )
        except (NewConnectionError, ConnectTimeoutError):
            # Nothing was sent, so the next try is not a resend.
            return False
        except urllib3.exceptions.HTTPError:
            reply.attempts += 1
            return False
        reply.attempts += 1
        kept = reply.body
        if resp.status != 200:
            kept = b""
        reply.status = resp.status
        reply.headers = dict(resp.headers)
        reply.run = resp.headers.get("X-Run", "maybe")
        reply.body = kept
        try:
            self._read(reply, resp, began)
        except urllib3.exceptions.HTTPError:
            resp.close()
            return False
        reply.is_complete = not streamed or resp.status != 200 or self._ended(reply)
        return reply.is_complete

    def _read(self, reply, resp, began):
        last = None
        for chunk in resp.stream(READ_BYTES, decode_content=False):
            now = time.monotonic()
            if reply.first_seconds is None:
                reply.first_seconds = now - began
            elif last is not None:
                reply.gaps.append(now - last)
            last = now
            reply.body += chunk
        resp.release_conn()

    def _ended(self, reply):
        return reply.body.rstrip().endswith(END_MARK)
