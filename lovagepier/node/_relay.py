"""Dispatches one request to one target, at most once, and relays the answer."""

import re
import time
from dataclasses import dataclass, field

from lovagepier.decisions.placement.work import Outcome
from lovagepier.errors import ErrorKind, RequestError
from lovagepier.targets import (
    NotDispatched,
    TargetBroken,
    TargetUnreachable,
    UnknownRequestId,
)

__all__ = ["Relay", "TargetRequest"]

TAIL_BYTES = 256
MAX_RESUMES = 3
RESUME_PAUSE_S = 0.1
MIN_TIMEOUT_S = 0.5
MAX_RESUME_PAST_DEADLINE_S = 60.0
SSE_EVENT_END = b"\n\n"
_COMPLETION_TOKENS = re.compile(rb'"completion_tokens"\s*:\s*(\d{1,9})')


@dataclass(slots=True)
class TargetRequest:
    """An HTTP request for a target; `streamed` if the answer is an event stream."""

    method: str
    path: str
    body: bytes
    headers: dict = field(default_factory=dict)
    streamed: bool = False


class Relay:
    """The answer to one request: relayed bytes, statistics and outcome.

    With `dispatched` False it relays the answer to a request that another node
    has dispatched, from byte `offset` on, and reports no outcome to the
    coordinator. Bytes are not parsed: the relay counts event ends and keeps the
    last `TAIL_BYTES` to tell a complete answer from a truncated one.
    """

    def __init__(self, node, in_flight, adapter, request, offset=0, dispatched=True):
        self._node = node
        self._in_flight = in_flight
        self._adapter = adapter
        self._request = request
        self._offset = offset
        self._is_dispatched = dispatched
        self._started_at = time.monotonic()
        self._first_byte_s = None
        self._event_count = 0
        self._tail = b""
        self._stream = None
        self._chunks = None
        self._is_finished = False
        self._resumes = 0
        # Whether the next chunk is the first one of the answer once more.
        self._begins_anew = False
        self.status = 0
        self.headers = {}

    @property
    def request_id(self):
        """The request id that is sent to the target."""
        return self._in_flight.work.id

    @property
    def target(self):
        """The name of the target that answers."""
        return self._in_flight.target

    def _remaining_s(self):
        remaining = self._in_flight.work.deadline - self._node.clock()
        return max(remaining, MIN_TIMEOUT_S)

    # Opening

    def dispatch(self):
        """Send the request; return the first chunk of the answer.

        Raise `NotDispatched` if it is certain that nothing was sent, and
        `RequestError` for every later failure that a resume can't repair.
        """
        self._note(
            "dispatched", target=self._in_flight.target, version=self._in_flight.version
        )
        try:
            self._stream = self._adapter.dispatch(self._request, self._remaining_s())
        except NotDispatched as exc:
            self._finish("not-run")
            self._note("not dispatched", why=str(exc))
            raise
        except TargetBroken as exc:
            return self._recover(exc)
        return self._open()

    def join(self):
        """Attach to the running stream of this id; return its first chunk.

        Raise `RequestError` if the stream can't be resumed.
        """
        self._note("joined the running stream", target=self._in_flight.target)
        try:
            self._stream = self._request_resume()
        except TargetBroken as exc:
            self._finish_unreported()
            raise RequestError(
                ErrorKind.ANSWER_LOST, f"the stream can't be resumed: {exc}"
            )
        return self._open()

    def _open(self):
        self.status = self._stream.status
        self.headers = self._stream.headers
        self._chunks = iter(self._stream.chunks)
        try:
            chunk = next(self._chunks, b"")
        except TargetBroken as exc:
            return self._recover(exc)
        return self._on_first(chunk)

    def _on_first(self, chunk):
        self._first_byte_s = time.monotonic() - self._started_at
        # An answer that is not streamed sends its first byte after its last
        # token, which says nothing about the time to first token.
        if self._is_dispatched and self._request.streamed and self.status < 400:
            self._node.permits.report_first_byte(self._in_flight, self._first_byte_s)
        self._count(chunk)
        return chunk

    def _count(self, chunk):
        if chunk and self._request.streamed:
            self._resumes = 0
        self._offset += len(chunk)
        self._event_count += chunk.count(SSE_EVENT_END)
        self._tail = (self._tail + chunk)[-TAIL_BYTES:]

    # Remaining chunks

    def remaining_chunks(self):
        """Yield the chunks after the first one.

        Raise `RequestError` if the answer is truncated and can't be resumed.
        """
        while True:
            try:
                for chunk in self._chunks:
                    self._count(chunk)
                    yield chunk
            except TargetBroken as exc:
                yield self._recover(exc)
                continue
            if self.status >= 400 or self._is_complete():
                self._finish_by_status()
                return
            yield self._recover(TargetBroken("the answer ended without its end mark"))

    def read_whole(self, first):
        """Return an answer that is not streamed; `first` is its first chunk.

        Raise `RequestError` if it is truncated and can't be resumed.
        """
        self._begins_anew = False
        parts = [first]
        for chunk in self.remaining_chunks():
            if self._begins_anew:
                self._begins_anew = False
                parts.clear()
            parts.append(chunk)
        return b"".join(parts)

    def _is_complete(self):
        return self._adapter.is_complete(self._tail, self._request.streamed)

    def _finish_by_status(self):
        if self.status >= 500:
            self._finish("failed")
        elif self.status >= 400:
            self._finish("refused")
        else:
            self._finish("ok")

    def _recover(self, cause):
        """Resume a broken stream; return its next chunk or raise `RequestError`.

        Gives up after `MAX_RESUMES` resumes in a row that brought no new bytes.
        """
        while self._may_resume():
            self._resumes += 1
            try:
                return self._resume_once()
            except TargetUnreachable as exc:
                self._fail("died", f"the target died: {exc}")
            except UnknownRequestId as exc:
                self._fail("vanished", str(exc))
            except TargetBroken as exc:
                cause = exc
                time.sleep(RESUME_PAUSE_S)
        return self._give_up(cause)

    def _may_resume(self):
        if not self._adapter.resumes or self._resume_expired():
            return False
        if self.status not in (0, 200):
            # The request has failed: it has no other answer.
            return False
        return self._resumes < MAX_RESUMES

    def _resume_expired(self):
        return (
            self._node.clock()
            > self._in_flight.work.deadline + MAX_RESUME_PAST_DEADLINE_S
        )

    def _resume_once(self):
        if self._deadline_missed():
            raise TargetBroken("the deadline passed")
        self._stream = self._request_resume()
        self._chunks = iter(self._stream.chunks)
        if not self.status:
            self.status = self._stream.status
            self.headers = self._stream.headers
        chunk = next(self._chunks, b"")
        self._note("resumed", why="the connection to the target broke")
        if self._first_byte_s is None:
            return self._on_first(chunk)
        self._count(chunk)
        return chunk

    def _request_resume(self):
        """Return the rest of a stream, or all of an answer that is not streamed.

        Raise `TargetBroken` if the response is neither.
        """
        if not self._request.streamed:
            self._begins_anew = True
            self._offset = 0
            self._tail = b""
        stream = self._adapter.resume(
            self.request_id, self._offset, self._remaining_s()
        )
        content_type = stream.headers.get("Content-Type", "")
        is_stream = content_type.startswith("text/event-stream")
        if stream.status != 200 or is_stream != self._request.streamed:
            stream.close()
            raise TargetBroken(
                f"the resume was answered {stream.status} {content_type}"
            )
        return stream

    def _deadline_missed(self):
        return (
            self._first_byte_s is None
            and self._node.clock() > self._in_flight.work.deadline
        )

    def _fail(self, status, detail):
        self._finish(status)
        raise RequestError(ErrorKind.TARGET_FAILED, detail)

    def _give_up(self, cause):
        self._adapter.cancel(self.request_id)
        if self._deadline_missed():
            self._finish("late")
            raise RequestError(ErrorKind.DEADLINE_RUNNING, str(cause))
        self._finish("failed")
        raise RequestError(ErrorKind.ANSWER_LOST, str(cause))

    def close(self):
        """Cancel the request because the caller disconnected.

        Does nothing if the answer is complete. Work that another node dispatched
        goes on at the target.
        """
        if self._is_finished:
            return
        if self._stream is not None:
            self._stream.close()
        if self._is_dispatched:
            self._adapter.cancel(self.request_id)
        self._note("cancelled", why="the caller went away")
        self._finish("cancelled")

    # Outcome

    def _finish(self, status):
        if self._is_finished:
            return
        self._is_finished = True
        total = time.monotonic() - self._started_at
        in_time = self._node.clock() <= self._in_flight.work.deadline
        if self._is_dispatched:
            self._node.permits.finish(
                self._in_flight, self._outcome(status, total, in_time)
            )
        self._node.metrics.record_finished(
            self._in_flight, status, self._first_byte_s, total, in_time
        )
        self._note(f"ended: {status}", total_ms=round(total * 1000, 1))

    def _outcome(self, status, total, in_time):
        is_ok = status == "ok"
        return Outcome(
            self.request_id,
            self._in_flight.target,
            status,
            self._first_byte_s if is_ok and self._request.streamed else None,
            total if is_ok else None,
            self._token_count(),
            in_time,
        )

    def _token_count(self):
        """Return the number of generated tokens.

        That is the events of a stream without the end mark, or the usage count
        at the end of an answer that is not streamed.
        """
        if self._request.streamed:
            return max(self._event_count - 1, 0)
        found = _COMPLETION_TOKENS.search(self._tail)
        return int(found[1]) if found else 0

    def _finish_unreported(self):
        # Only for a join, whose outcome the dispatching node reports.
        self._is_finished = True

    def _note(self, event, why="", **facts):
        self._node.timeline.add(
            "entry", event, why=why, request=self.request_id, **facts
        )
