"""Dispatch of one request to one target, at most once, and its relay."""

import re
import time
from dataclasses import dataclass, field

from lovagepier.decisions.work import Outcome
from lovagepier.errors import ErrorKind, RequestError
from lovagepier.targets import (
    NotDispatched,
    TargetBroken,
    TargetUnreachable,
    UnknownRequestId,
)

__all__ = ["Exchange", "Relay"]

TAIL_BYTES = 256
MAX_RESUMES = 3
RESUME_PAUSE_S = 0.1
MIN_TIMEOUT_S = 0.5
PAST_DEADLINE_S = 60.0
EVENT_END = b"\n\n"
_COMPLETION_TOKENS = re.compile(rb'"completion_tokens"\s*:\s*(\d{1,9})')


@dataclass(slots=True)
class Exchange:
    """What is sent to a target."""

    method: str
    path: str
    body: bytes
    headers: dict = field(default_factory=dict)
    streamed: bool = False


class Relay:
    """One dispatched or joined request: its bytes, its books, its outcome.

    Bytes pass unparsed; only event ends are counted and the tail is kept,
    to tell a whole answer from one cut short.
    """

    def __init__(self, node, item, adapter, exchange, offset=0, dispatched=True):
        self._node = node
        self._item = item
        self._adapter = adapter
        self._exchange = exchange
        self._offset = offset
        self._own = dispatched
        self._began = time.monotonic()
        self._first = None
        self._events = 0
        self._tail = b""
        self._stream = None
        self._chunks = None
        self._over = False
        self._resumes = 0
        self.status = 0
        self.headers = {}

    @property
    def request_id(self):
        """The id that the target knows the request by."""
        return self._item.work.id

    @property
    def target(self):
        """The name of the target that answers."""
        return self._item.target

    def _timeout(self):
        left = self._item.work.deadline - self._node.clock()
        return max(left, MIN_TIMEOUT_S)

    # Opening

    def dispatch(self):
        """Send the request; return the first chunk of the answer.

        Raise `NotDispatched` where provably nothing was sent; raise
        `RequestError` for everything after.
        """
        self._note("dispatched", target=self._item.target, version=self._item.version)
        try:
            self._stream = self._adapter.dispatch(self._exchange, self._timeout())
        except NotDispatched as exc:
            self._finish("not-run")
            self._note("not dispatched", why=str(exc))
            raise
        except TargetBroken as exc:
            return self._broken(exc)
        return self._open()

    def join(self):
        """Join the running stream of an id; return the first chunk."""
        self._note("joined the running stream", target=self._item.target)
        try:
            self._stream = self._adapter.resume(
                self.request_id, self._offset, self._timeout()
            )
        except TargetBroken as exc:
            self._finish_quietly()
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
            return self._broken(exc)
        return self._on_first(chunk)

    def _on_first(self, chunk):
        self._first = time.monotonic() - self._began
        # The first byte of a whole answer comes after its last token.
        if self._own and self._exchange.streamed and self.status < 400:
            self._node.permits.first_byte(self._item, self._first)
        self._count(chunk)
        return chunk

    def _count(self, chunk):
        if chunk:
            self._resumes = 0
        self._offset += len(chunk)
        self._events += chunk.count(EVENT_END)
        self._tail = (self._tail + chunk)[-TAIL_BYTES:]

    # The rest

    def rest(self):
        """Yield the chunks after the first; raise where the answer is cut."""
        while True:
            try:
                for chunk in self._chunks:
                    self._count(chunk)
                    yield chunk
            except TargetBroken as exc:
                yield self._broken(exc)
                continue
            if self.status >= 400 or self._is_whole():
                self._end()
                return
            yield self._broken(TargetBroken("the answer ended without its end mark"))

    def _is_whole(self):
        return self._adapter.is_complete(self._tail, self._exchange.streamed)

    def _end(self):
        if self.status >= 500:
            self._finish("failed")
        elif self.status >= 400:
            self._finish("refused")
        else:
            self._finish("ok")

    def _broken(self, cause):
        """Resume a broken stream; return its next chunk or raise.

        Gives up after a few resumes in a row that brought no byte.
        """
        while self._may_resume():
            self._resumes += 1
            try:
                return self._resume_once()
            except TargetUnreachable as exc:
                self._end_without("died", f"the target died: {exc}")
            except UnknownRequestId as exc:
                self._end_without("vanished", str(exc))
            except TargetBroken as exc:
                cause = exc
                time.sleep(RESUME_PAUSE_S)
        return self._give_up(cause)

    def _may_resume(self):
        if not self._adapter.resumes or self._past_deadline():
            return False
        return self._resumes < MAX_RESUMES

    def _past_deadline(self):
        return self._node.clock() > self._item.work.deadline + PAST_DEADLINE_S

    def _resume_once(self):
        if self._past_first_deadline():
            raise TargetBroken("the deadline passed")
        self._stream = self._adapter.resume(
            self.request_id, self._offset, self._timeout()
        )
        self._chunks = iter(self._stream.chunks)
        if not self.status:
            self.status = self._stream.status
            self.headers = self._stream.headers
        chunk = next(self._chunks, b"")
        self._note("resumed", why="the connection to the target broke")
        if self._first is None:
            return self._on_first(chunk)
        self._count(chunk)
        return chunk

    def _past_first_deadline(self):
        return self._first is None and self._node.clock() > self._item.work.deadline

    def _end_without(self, status, detail):
        self._finish(status)
        raise RequestError(ErrorKind.TARGET_FAILED, detail)

    def _give_up(self, cause):
        self._adapter.cancel(self.request_id)
        if self._past_first_deadline():
            self._finish("late")
            raise RequestError(ErrorKind.DEADLINE_RUNNING, str(cause))
        self._finish("failed")
        raise RequestError(ErrorKind.ANSWER_LOST, str(cause))

    def close(self):
        """End early because the caller went away; stop the target's work."""
        if self._over:
            return
        if self._stream is not None:
            self._stream.close()
        if self._own:
            self._adapter.cancel(self.request_id)
        self._note("cancelled", why="the caller went away")
        self._finish("cancelled")

    # Books

    def _finish(self, status):
        if self._over:
            return
        self._over = True
        total = time.monotonic() - self._began
        in_time = self._node.clock() <= self._item.work.deadline
        if self._own:
            self._node.permits.finish(self._item, self._outcome(status, total, in_time))
        self._node.metrics.finished(self._item, status, self._first, total, in_time)
        self._note(f"ended: {status}", total_ms=round(total * 1000, 1))

    def _outcome(self, status, total, in_time):
        is_ok = status == "ok"
        return Outcome(
            self.request_id,
            self._item.target,
            status,
            self._first if is_ok and self._exchange.streamed else None,
            total if is_ok else None,
            self._decoded(),
            in_time,
        )

    def _decoded(self):
        """Return the tokens of the answer: its events, or what it says."""
        if self._exchange.streamed:
            return max(self._events - 1, 0)
        found = _COMPLETION_TOKENS.search(self._tail)
        return int(found[1]) if found else 0

    def _finish_quietly(self):
        self._over = True

    def _note(self, event, why="", **facts):
        self._node.timeline.add(
            "entry", event, why=why, request=self.request_id, **facts
        )
