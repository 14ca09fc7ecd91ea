"""HTTP/1.1 connections to targets: h11 on an asyncio transport."""

import asyncio
import contextlib
import math

import h11

from lovagepier.entry._targets.body_memory import FREE_BYTES
from lovagepier.entry._targets.errors import (
    SecondResponseFound,
    TargetConnectionLost,
    TargetEnded,
    lost_by,
)
from lovagepier.entry._targets.parsers import MAX_HEAD_BYTES, make_parser
from lovagepier.entry._targets.second_response import (
    find_second_response,
    is_head_of_two,
)
from lovagepier.entry._targets.undelimited_body import (
    UndelimitedBody,
    is_chunked,
    is_undelimited,
)
from lovagepier.logs import component_logger
from lovagepier.platform import decode_response, is_response_mark

__all__ = ["TargetConnection", "TargetConnectionLost"]

# Reading pauses while more than this is unread, as for a slow caller.
MAX_UNPARSED_BYTES = 32 * 1024
# What is read from a socket at a time.
READ_BYTES = 32 * 1024
# Idle connections are closed after this, before most targets close theirs.
MAX_IDLE_S = 10.0
# Subtracted from the idle timeout that a target announces, to close first.
IDLE_MARGIN_S = 1.0
# Requests that one connection carries; their ids are kept.
MAX_REQUESTS = 256
# Responses that are read for one request, those to others included, before the
# connection is closed, and the bytes of a skipped one's body.
MAX_STALE_RESPONSES = 4
MAX_STALE_BYTES = 1024 * 1024
# Interim responses (1xx) accepted before a response.
MAX_INTERIM_RESPONSES = 8
# Events that are read on end before all other work has its turn. A chunk of one byte is
# an event.
MAX_EVENTS_A_TURN = 32
# Bytes of a body that are handled as one event; more have to wait for their turn.
SLICE_BYTES = 4096
# A body that is not streamed is held in memory up to this size.
MAX_BODY_BYTES = 4 * 1024 * 1024
# An unneeded body is read for reuse of its connection up to this size, and for
# this long.
MAX_DISCARDED_BYTES = 64 * 1024
DISCARD_TIMEOUT_S = 0.1
# How long a body that ends in what may be a head waits for the bytes behind it.
SETTLE_TIMEOUT_S = 0.05

# A response is still being sent if its body lasts for this long already, and the last
# bytes of it came this recently.
MIN_SENDING_S = 0.5
MAX_SENDING_GAP_S = 0.5

_HEADS = (h11.Response, h11.InformationalResponse)
# Bytes are copied from it before the next socket is read.
_read_buffer = bytearray(READ_BYTES)
_log = component_logger("targets")


class TargetConnection(asyncio.BufferedProtocol):
    """One connection, which carries one request at a time.

    `idle_timeout_s` is how long it may be reused after `idle_since` (loop
    seconds). `requests_served` counts its completed requests. `via` is the host that
    the connection goes through, empty if it is direct; one that is not `is_reusable`
    carries a single request. `is_leaving` tells whether the target said in any
    response that it leaves.
    """

    __slots__ = (
        "_body_ended",
        "_body_size",
        "_carried_ids",
        "_events_in_turn",
        "_failure",
        "_head_at",
        "_http",
        "_is_chunked",
        "_loop",
        "_paused",
        "_readable",
        "_received_at",
        "_request",
        "_transport",
        "_undelimited",
        "_unhandled",
        "_unparsed_bytes",
        "idle_since",
        "idle_timeout_s",
        "is_leaving",
        "is_reusable",
        "requests_served",
        "via",
    )

    def __init__(self):
        self._loop = asyncio.get_running_loop()
        self._transport = None
        self._http = None
        self._readable = None
        self._failure = None
        self._paused = False
        self._unparsed_bytes = 0
        self._request = None
        self._undelimited = None
        self._is_chunked = False
        self._body_ended = False
        self._body_size = None
        self._unhandled = b""
        self._events_in_turn = 0
        self._head_at = math.inf
        self._received_at = -math.inf
        self._carried_ids = set()
        self.idle_since = 0.0
        self.idle_timeout_s = MAX_IDLE_S
        self.is_leaving = False
        self.is_reusable = True
        self.requests_served = 0
        self.via = ""

    def connection_made(self, transport):
        """Store the transport."""
        self._transport = transport

    def get_buffer(self, sizehint):
        """Return the buffer for the next bytes, which all connections share."""
        return _read_buffer

    def buffer_updated(self, nbytes):
        """Handle bytes that the transport has read."""
        self.data_received(_read_buffer[:nbytes])

    def data_received(self, data):
        """Pass bytes to the parser; unsolicited ones close an idle connection."""
        self._received_at = self._loop.time()
        if self._http is None:
            self._fail("sent bytes that nothing had asked for")
            return
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as exc:
            self._fail(str(exc))
        self._unparsed_bytes += len(data)
        if self._unparsed_bytes > MAX_UNPARSED_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        self._wake()

    def eof_received(self):
        """Pass the end of the target's bytes to the parser."""
        if self._http is None:
            self._fail("closed while idle")
            return
        try:
            self._http.receive_data(b"")
        except h11.RemoteProtocolError as exc:
            self._fail(str(exc))
        self._wake()

    def connection_lost(self, exc):
        """Record that the connection is lost, also after a clean close."""
        if self._failure is None:
            self._failure = f"reset: {exc}" if exc else "closed"
        self._wake()

    def _fail(self, why):
        if self._failure is None:
            self._failure = why
        if self._transport is not None:
            self._transport.abort()

    def _wake(self):
        if self._readable is not None and not self._readable.done():
            self._readable.set_result(None)

    @property
    def usable(self):
        """Whether another request may be sent on this connection."""
        return (
            self._failure is None
            and not self._transport.is_closing()
            and self._loop.time() - self.idle_since < self.idle_timeout_s
        )

    def has_carried(self, request_id):
        """Whether a request with this id was sent here before.

        A copy of the first answer could not be told from the answer to the second.
        """
        return request_id in self._carried_ids

    def send(self, method, target, headers, body):
        """Send one whole request."""
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._request = h11.Request(method=method, target=target, headers=headers)
        parts = [self._http.send(self._request)]
        if body:
            parts.append(self._http.send(h11.Data(data=body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        self._transport.write(b"".join(parts))

    async def _next_event(self):
        """Return the parser's next event; raise `TargetConnectionLost`."""
        await self._take_turn(1)
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as exc:
                self._fail(str(exc))
                raise lost_by(exc)
            if event is not h11.NEED_DATA and event is not h11.PAUSED:
                return event
            if self._failure is not None:
                raise TargetEnded(self._failure)
            self._resume()
            await self._wait_readable()

    async def _take_turn(self, events):
        """Let all other work have its turn if this connection had many events."""
        self._events_in_turn += events
        if self._events_in_turn > MAX_EVENTS_A_TURN:
            self._events_in_turn = events
            await asyncio.sleep(0)

    async def _wait_readable(self):
        self._events_in_turn = 0
        self._readable = self._loop.create_future()
        try:
            await self._readable
        finally:
            self._readable = None

    def _resume(self):
        self._unparsed_bytes = 0
        if self._paused:
            self._paused = False
            self._transport.resume_reading()

    async def read_head(self, request_id):
        """Return the `TargetResponse` to `request_id`.

        Only a response that echoes the id is taken, on new connections too: others
        belong to earlier requests or to none, and state nothing about this one. They
        are skipped. Raise `TargetConnectionLost` after too many.
        """
        self._carried_ids.add(request_id)
        for _ in range(MAX_STALE_RESPONSES):
            event = await self._next_final_event()
            if not isinstance(event, h11.Response):
                raise TargetConnectionLost("no response")
            response = decode_response(
                event.status_code, list(event.headers), event.http_version
            )
            self.is_leaving = self.is_leaving or response.is_leaving
            undelimited = is_undelimited(event)
            if response.request_id == request_id:
                self._head_at = self._loop.time()
                self._body_size = _content_length(event)
                self._body_ended = False
                self._unhandled = b""
                self._is_chunked = is_chunked(event)
                self._undelimited = UndelimitedBody(response) if undelimited else None
                return response
            _log.info(
                "skipped a response that does not name the request",
                request=request_id,
                named=response.request_id,
                status=response.status,
                not_executed=response.not_executed,
                undelimited=undelimited,
                reused=self.requests_served,
            )
            if undelimited or self._request.method == b"HEAD":
                # Where it ends, and the true answer begins, can't be told.
                raise TargetConnectionLost("a response to another request has no end")
            await self._skip_response()
        raise TargetConnectionLost("too many responses to other requests")

    async def _next_final_event(self):
        """Return the next event that is not an interim response."""
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, _HEADS) and is_head_of_two(event):
                raise TargetConnectionLost("a second response inside a head")
            if not isinstance(event, h11.InformationalResponse):
                return event
        raise TargetConnectionLost("too many interim responses")

    async def _skip_response(self):
        skipped = 0
        while not isinstance(event := await self._next_event(), h11.EndOfMessage):
            if isinstance(event, h11.ConnectionClosed):
                raise TargetConnectionLost("closed in a response to another request")
            if isinstance(event, h11.Data):
                skipped += len(event.data)
            if skipped > MAX_STALE_BYTES:
                raise TargetConnectionLost("an endless response to another request")
        rest, has_ended = self._http.trailing_data
        self._http = make_parser(self._request.method, self._request.target)
        if rest:
            self._http.receive_data(rest)
        if has_ended:
            self._http.receive_data(b"")

    async def read_data(self):
        """Return the next bytes of the body, or None at its end.

        Raise `TargetConnectionLost` if the body is truncated.
        """
        while self._unhandled or not self._body_ended:
            if self._unhandled:
                data = await self._next_slice()
            else:
                data = self._read_event(await self._next_event())
            if data:
                return data
        return None

    async def _next_slice(self):
        """Return what is passed on of the next bytes of the body that were read."""
        data = self._unhandled[:SLICE_BYTES]
        if len(data) == SLICE_BYTES:
            await self._take_turn(MAX_EVENTS_A_TURN)
        self._unhandled = self._unhandled[len(data) :]
        return data if self._undelimited is None else self._undelimited.feed(data)

    def _read_event(self, event):
        """Return the last bytes of the body at its end; put off those of any other."""
        if isinstance(event, h11.Data):
            self._unhandled = bytes(event.data)
            return b""
        self._body_ended = isinstance(event, h11.EndOfMessage)
        if not self._body_ended:
            raise TargetEnded("the body ended early")
        if self._undelimited is None:
            return b""
        # A body without a length is complete only if the close was clean.
        if self._failure is not None and self._failure.startswith("reset"):
            raise TargetEnded(self._failure)
        return self._undelimited.end()

    async def read_body(self, reservation=None):
        """Return the whole body.

        A longer one than `FREE_BYTES` is read on once the `Reservation` covers it.
        Raise `TargetConnectionLost` if it is truncated or exceeds `MAX_BODY_BYTES`.
        """
        body = bytearray()
        while (data := await self.read_data()) is not None:
            body += data
            if len(body) > MAX_BODY_BYTES:
                raise TargetConnectionLost("the body does not end")
            if reservation is not None and len(body) > FREE_BYTES:
                size = MAX_BODY_BYTES if self._body_size is None else self._body_size
                await reservation.grow_to(min(size, MAX_BODY_BYTES))
        body = bytes(body)
        await self._check_body(body)
        return body

    def is_sending(self, now):
        """Return whether the body of the present response goes on and on.

        A target that is only slow has sent nothing, or stopped.
        """
        return (
            not self._body_ended
            and now - self._head_at >= MIN_SENDING_S
            and now - self._received_at <= MAX_SENDING_GAP_S
        )

    async def _check_body(self, body):
        """Raise `SecondResponseFound` if a framed body holds a second response."""
        if self._undelimited is not None or self._request.method == b"HEAD":
            return
        is_found = find_second_response(body, self._rest(), self._is_mark)
        if is_found is None and await self._wait_for_rest():
            is_found = find_second_response(body, self._rest(), self._is_mark)
        if is_found:
            raise SecondResponseFound("a second response inside a framed body")

    def _rest(self):
        # What follows a last chunk is no part of the body.
        is_counted = self._body_ended and not self._is_chunked
        return self._http.trailing_data[0] if is_counted else b""

    def _is_mark(self, name, value):
        return is_response_mark(name, value, self._carried_ids)

    async def _wait_for_rest(self):
        """Return whether bytes are there behind the body, now or soon."""
        rest, has_ended = self._http.trailing_data
        is_final = rest or has_ended or self._is_chunked or self._failure is not None
        if self._body_ended and not is_final:
            self._resume()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SETTLE_TIMEOUT_S):
                    await self._wait_readable()
        return bool(self._rest())

    async def discard_body(self):
        """Read the rest of an unneeded body; return whether it has ended.

        False means that it is too long, too slow or truncated. Raise
        `TargetConnectionLost` if it holds a second response or breaks its framing,
        as a second one inside it does.
        """
        body = bytearray()
        with contextlib.suppress(TimeoutError, TargetEnded):
            async with asyncio.timeout(DISCARD_TIMEOUT_S):
                while (data := await self.read_data()) is not None:
                    body += data
                    if len(body) > MAX_DISCARDED_BYTES:
                        break
        await self._check_body(bytes(body))
        return self._body_ended and not self._unhandled

    def finish(self, response):
        """End the current request; return whether the connection can be reused.

        A connection that can't be reused is closed.
        """
        reusable = (
            self.is_reusable
            and len(self._carried_ids) < MAX_REQUESTS
            and not response.closes_connection
            and self._failure is None
            and self._http is not None
            # A copy of it would be framed by the method of a later request.
            and self._request.method != b"HEAD"
            and self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
            and not self._transport.get_write_buffer_size()
        )
        self._http = None
        self._request = None
        self._head_at = math.inf
        if not reusable:
            self.close()
            return False
        self._resume()
        self.requests_served += 1
        self.idle_since = self._loop.time()
        if response.idle_timeout_s is not None:
            self.idle_timeout_s = min(
                MAX_IDLE_S, max(response.idle_timeout_s - IDLE_MARGIN_S, 0.0)
            )
        return True

    def close(self):
        """Close at once; a target that is running a request on it stops."""
        if self._failure is None:
            self._failure = "closed here"
        if self._transport is not None:
            self._transport.abort()


def _content_length(event):
    """Return the length that the head of a response states, None if it states none."""
    for name, value in event.headers:
        if name == b"content-length":
            return int(value)
    return None
