"""Callers' HTTP/1.1 connections: h11 on an asyncio transport.

cheroot, which `web` uses, serves a request in a blocked thread that can't notice
when its caller disconnects; an asyncio transport reports it at once. See
docs/PLATFORM.md.
"""

import asyncio
import socket
import struct

import h11

from lovagepier.entry._callers.caller_transport import (
    BadRequest,
    CallerDisconnected,
    CallerTransport,
)
from lovagepier.logs import component_logger

__all__ = ["BadRequest", "CallerConnection", "CallerDisconnected"]

# Bodies are held in blocks of about this size. One that grows as a whole is moved as it
# grows, which fragments the heap.
BLOCK_BYTES = 64 * 1024
# Events that are read on end before all other work has its turn. A chunk of one byte
# is an event.
MAX_EVENTS_A_TURN = 32
# The parser takes 7 us for each chunk, however short it is: a body may have
# `MIN_CHUNKS`, and one more for each `BYTES_PER_CHUNK`.
MIN_CHUNKS = 4096
BYTES_PER_CHUNK = 64
# What a body's chunk headers, extensions and trailers may take beyond its length.
MAX_FRAMING_BYTES = 256 * 1024
# The parser takes 2 us for each field of a head.
MAX_HEAD_FIELDS = 512
# The whole body has to arrive within this multiple of the head timeout, which bounds
# each pause in it.
BODY_TIMEOUT_HEADS = 5.0
# The rest of an unwanted body is read for reuse of its connection up to this
# size.
MAX_SKIPPED_BYTES = 64 * 1024
# Retry-After of a body that got no memory.
NO_MEMORY_RETRY_AFTER_S = 1.0

_log = component_logger("callers")


class CallerConnection(CallerTransport):
    """Reads the requests of one connection and sends its responses."""

    __slots__ = ()

    async def _next_event(self, timeout_s):
        """Return the parser's next event.

        Raise `BadRequest` for invalid HTTP, `CallerDisconnected` if the caller is
        gone and TimeoutError if no bytes arrive for `timeout_s`.
        """
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as exc:
                raise BadRequest(exc.error_status_hint or 400, str(exc))
            if event is not h11.NEED_DATA:
                return event
            self.unparsed_bytes = 0
            await self._wait_readable(timeout_s)

    async def read_head(self):
        """Return (h11.Request, arrival in loop seconds), or None to end the connection.

        Waits up to the idle timeout for the first bytes, then up to the head
        timeout for the whole head. Raise `BadRequest` for a head that is invalid,
        too long or too slow.
        """
        limits = self._limits()
        if not await self._wait_for_bytes(limits.idle_timeout_s):
            return None
        arrived_at = self._loop.time()
        ends_at = arrived_at + limits.head_timeout_s
        try:
            while True:
                if self._newlines > MAX_HEAD_FIELDS:
                    self._check_fields()
                event = self._next_head_event()
                if event is not h11.NEED_DATA:
                    break
                await self._wait_readable(ends_at - self._loop.time())
        except TimeoutError:
            raise BadRequest(408, "the head took too long", "slow-head")
        if isinstance(event, h11.Request):
            _check_framing(event)
            if _head_bytes(event) > limits.max_head_bytes:
                raise BadRequest(431, "the head is too long")
            self._begin_body(event)
            return event, arrived_at
        return None

    def _next_head_event(self):
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as exc:
            raise BadRequest(exc.error_status_hint or 400, str(exc))

    def _check_fields(self):
        """Reject a head of too many fields before the parser splits it."""
        head = self._http.trailing_data[0].lstrip(b"\r\n").partition(b"\r\n\r\n")[0]
        if head.count(b"\n") > MAX_HEAD_FIELDS:
            raise BadRequest(431, "the head has too many fields")

    def _begin_body(self, request):
        """Note the framing of a request's body; the end of an empty one is read."""
        self._body_length = 0
        for name, value in request.headers:
            if name == b"content-length":
                self._body_length = int(value)
            elif name == b"transfer-encoding":
                self._body_length = None
        if self._body_length == 0:
            self._http.next_event()

    async def _wait_for_bytes(self, timeout_s):
        if self.unparsed_bytes:
            return True
        if self.closing and self.responses:
            return False
        self._readable = self._loop.create_future()
        self._resume_reading()
        try:
            async with asyncio.timeout(timeout_s):
                await self._readable
        except TimeoutError:
            return False
        finally:
            self._readable = None
        return not self.disconnected and bool(self._http.trailing_data[0])

    def close_when_idle(self, min_idle_s):
        """End the connection after its current or next response, as in a shutdown.

        It is closed without one only after `min_idle_s` without a request: the next
        request may be on its way, the first one on a new connection above all.
        """
        self.closing = True
        if not self.serving and self._loop.time() - self._idle_since >= min_idle_s:
            self._wake(self._readable)

    @property
    def has_body(self):
        """Whether the current request has a body of which any part is unread."""
        return self._http.their_state is h11.SEND_BODY

    async def read_body(self):
        """Return the whole body; raise `BadRequest` if it is too long or too slow.

        Sends 100 Continue first if the caller expects it. Other connections have their
        turn after some parts of it.
        """
        if not self.has_body:
            return b""
        limits = self._limits()
        if (self._body_length or 0) > limits.max_body_bytes:
            raise BadRequest(413, "the body is too long", "too-long")
        if self._http.they_are_waiting_for_100_continue:
            proceed = h11.InformationalResponse(status_code=100, headers=[])
            self._transport.write(self._http.send(proceed))
        self._body = []
        self._body_size = 0
        self._wire_bytes = self.unparsed_bytes
        self.received_at = self._loop.time()
        self._conns.mark_receiving(self)
        try:
            self._take_memory()
            await self._read_parts(limits, limits.max_body_bytes)
            return b"".join(self._body)
        finally:
            self._body = None
            self._conns.mark_received(self)

    async def _read_parts(self, limits, max_bytes):
        """Read a body to its end into `_body`; drop it if that is None."""
        ends_at = self._loop.time() + limits.head_timeout_s * BODY_TIMEOUT_HEADS
        size = chunks = events = 0
        while True:
            timeout_s = min(limits.head_timeout_s, ends_at - self._loop.time())
            try:
                event = await self._next_event(timeout_s)
            except TimeoutError:
                raise BadRequest(408, "the body took too long", "slow-body")
            if self._refusal is not None:
                raise self._refusal
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                raise CallerDisconnected
            size += len(event.data)
            if size > max_bytes:
                raise BadRequest(413, "the body is too long", "too-long")
            chunks += event.chunk_start
            if chunks > MIN_CHUNKS + size // BYTES_PER_CHUNK:
                raise BadRequest(400, "the body's chunks are too small", "chunks")
            if self._wire_bytes - size > self.unparsed_bytes + MAX_FRAMING_BYTES + size:
                raise BadRequest(400, "the body is mostly framing", "chunks")
            self.unparsed_bytes = max(self.unparsed_bytes - len(event.data), 0)
            if self._body is not None:
                self._keep(event.data)
            events += 1
            if not events % MAX_EVENTS_A_TURN:
                await asyncio.sleep(0)
                if self._loop.time() > ends_at:
                    raise BadRequest(408, "the body took too long", "slow-body")
                if self.disconnected:
                    raise CallerDisconnected

    def _keep(self, data):
        """Add a part to the body; short ones are joined to blocks."""
        self._body_size += len(data)
        if self._body and len(self._body[-1]) + len(data) <= BLOCK_BYTES:
            self._body[-1] += data
        else:
            # The parser's own copy, a bytearray.
            self._body.append(data)

    async def finish_request(self):
        """Read the rest of a request whose response was sent; give back its memory.

        Raise `BadRequest` if it is too slow.
        """
        if self.has_body:
            await self._read_parts(self._limits(), MAX_SKIPPED_BYTES)
        if self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        if self.held:
            self._conns.give_back(self)
        self._refusal = None
        sent_ahead = self._http.trailing_data[0]
        self.unparsed_bytes = len(sent_ahead)
        if sent_ahead:
            # It is served in turn with other connections.
            self._newlines = sent_ahead.count(b"\n")
            await asyncio.sleep(0)
        else:
            self._newlines = 0

    def send_head(self, status, headers):
        """Send a response's head; h11 derives the framing from `headers`.

        A body that ends with the connection is complete for its caller after any
        orderly close, so until its end the connection is reset by whatever closes it.
        """
        if self._ends_with_connection(headers):
            self._set_reset_on_close(True)
        if self.has_body and not self._may_skip_rest():
            self.closing = True
        if self.closing:
            headers = [*headers, (b"connection", b"close")]
        response = h11.Response(status_code=status, headers=headers, reason=b"")
        self._write(self._http.send(response))

    def _may_skip_rest(self):
        """Whether the rest of a body is short and sure to come."""
        if self._http.they_are_waiting_for_100_continue:
            return False
        return (self._body_length or MAX_SKIPPED_BYTES + 1) <= MAX_SKIPPED_BYTES

    async def send_data(self, data):
        """Send a part of the body; wait while the transport's buffer is full.

        Raise `CallerDisconnected` if the caller is gone.
        """
        self._write(self._http.send(h11.Data(data=data)))
        if self._drained is not None:
            await self.flush()
        if self.disconnected:
            raise CallerDisconnected

    def end_response(self):
        """End the response; return whether the connection can be reused.

        `finish_request` is to be called before its next request.
        """
        self.responses += 1
        self._idle_since = self._loop.time()
        self._write(self._http.send(h11.EndOfMessage()))
        self._set_reset_on_close(False)
        if self.closing or self._http.our_state is not h11.DONE:
            return False
        return self._http.their_state in (h11.DONE, h11.SEND_BODY)

    def _ends_with_connection(self, headers):
        version = self._http.their_http_version
        has_length = any(name == b"content-length" for name, _ in headers)
        return not has_length and (version is None or version < b"1.1")

    def _set_reset_on_close(self, is_set):
        if self._resets_on_close == is_set or self._transport.is_closing():
            return
        self._resets_on_close = is_set
        sock = self._transport.get_extra_info("socket")
        linger = struct.pack("ii", int(is_set), 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def send_response(self, status, headers, body):
        """Send a whole response; return whether the connection can be reused."""
        self.send_head(status, [*headers, (b"content-length", b"%d" % len(body))])
        if body:
            self._write(self._http.send(h11.Data(data=body)))
        return self.end_response()

    @property
    def can_respond(self):
        """Whether no part of a response has been sent yet."""
        return self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def reject_unread(self, status, headers=()):
        """Respond to a request that could not be read; the connection then ends."""
        self.closing = True
        if not self.can_respond or self._transport.is_closing():
            return
        try:
            self.send_head(status, [(b"content-length", b"0"), *headers])
            self._write(self._http.send(h11.EndOfMessage()))
        except h11.LocalProtocolError as exc:
            _log.info("could not send a response", status=status, why=str(exc))


def _head_bytes(request):
    """Return the size of a head; the parser limits only incomplete ones."""
    line = len(request.method) + len(request.target) + len(" HTTP/1.1\r\n") + 1
    return line + sum(len(n) + len(v) + len(": \r\n") for n, v in request.headers)


def _check_framing(request):
    """Reject ambiguous framing, which would allow request smuggling."""
    names = [name for name, _ in request.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise BadRequest(400, "two framings of one body")
    if names.count(b"host") != 1:
        raise BadRequest(400, "not one host")
