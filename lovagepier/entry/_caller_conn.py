"""Callers' HTTP/1.1 connections: h11 over an asyncio transport.

cheroot gives a request a blocked thread, which can't see its caller leave;
here the transport tells at once. See docs/PLATFORM.md.
"""

import asyncio

import h11

from lovagepier.logs import component_logger

__all__ = ["BadRequest", "CallerConnection", "CallerDisconnected"]

# More unread bytes than this stop the reading of a connection.
MAX_UNREAD_BYTES = 256 * 1024
# What may wait in a caller's transport before a stream pauses.
MAX_UNSENT_BYTES = 64 * 1024

_log = component_logger("callers")


class CallerDisconnected(Exception):
    """The caller closed its connection."""


class BadRequest(Exception):
    """A request that can't be read; `status` is the answer it gets."""

    def __init__(self, status, why):
        super().__init__(why)
        self.status = status


class CallerConnection(asyncio.Protocol):
    """One accepted connection; `serve(conn)` is run as its task.

    `limits()` returns the `CallerLimits` in force. The task is cancelled
    when the caller leaves while a request is being served.
    """

    __slots__ = (
        "_drained",
        "_http",
        "_idle_since",
        "_limits",
        "_loop",
        "_on_close",
        "_readable",
        "_reading",
        "_serve",
        "_task",
        "_transport",
        "closing",
        "gone",
        "serving",
        "unread",
    )

    def __init__(self, serve, limits, on_close):
        self._serve = serve
        self._limits = limits
        self._on_close = on_close
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits().max_head_bytes
        )
        self._loop = asyncio.get_running_loop()
        self._transport = None
        self._task = None
        self._readable = None
        self._drained = None
        self._reading = True
        self.unread = 0
        self.gone = False
        self.closing = False
        self.serving = False

    # Transport events

    def connection_made(self, transport):
        """Start the connection's task."""
        self._transport = transport
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        self._task = self._loop.create_task(self._run())

    def data_received(self, data):
        """Hand bytes to the parser; stop reading when too many wait."""
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError:
            # Bytes after a connection's last request.
            return
        self.unread += len(data)
        if self.serving and self.unread > MAX_UNREAD_BYTES and self._reading:
            self._reading = False
            self._transport.pause_reading()
        self._wake(self._readable)

    def eof_received(self):
        """Treat a caller that stops sending as gone."""
        self._leave()

    def connection_lost(self, exc):
        """Treat a lost connection as a caller that is gone."""
        self._leave()
        self._on_close(self)

    def pause_writing(self):
        """Make writers wait."""
        self._drained = self._loop.create_future()

    def resume_writing(self):
        """Let writers go on."""
        self._wake(self._drained)
        self._drained = None

    def _wake(self, fut):
        if fut is not None and not fut.done():
            fut.set_result(None)

    def _leave(self):
        if self.gone:
            return
        self.gone = True
        self._wake(self._readable)
        self._wake(self._drained)
        if self.serving and self._task is not None:
            self._task.cancel()

    # Requests

    async def _run(self):
        try:
            await self._serve(self)
        except (CallerDisconnected, asyncio.CancelledError):
            pass
        except Exception as exc:  # noqa: BLE001  one connection must not end the host
            _log.error("a connection was dropped after a fault", exc_info=exc)
        finally:
            self.close()

    async def _next_event(self, wait_s):
        """Return the parser's next event; raise TimeoutError after `wait_s`."""
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as exc:
                raise BadRequest(exc.error_status_hint or 400, str(exc))
            if event is not h11.NEED_DATA:
                return event
            if self.gone:
                raise CallerDisconnected
            self._readable = self._loop.create_future()
            if not self._reading:
                self._reading = True
                self._transport.resume_reading()
            try:
                async with asyncio.timeout(wait_s):
                    await self._readable
            finally:
                self._readable = None
                self.unread = 0

    async def read_head(self):
        """Return (h11.Request, arrival in loop seconds), or None at the end.

        Waits for the first byte as long as an idle connection is kept, then
        for the whole head.
        """
        limits = self._limits()
        if not await self._first_bytes(limits.idle_s):
            return None
        arrived = self._loop.time()
        try:
            event = await self._next_event(limits.head_s)
        except TimeoutError:
            raise BadRequest(408, "the head took too long")
        if isinstance(event, h11.Request):
            _check_framing(event)
            if _head_bytes(event) > limits.max_head_bytes:
                raise BadRequest(431, "the head is too long")
            return event, arrived
        return None

    async def _first_bytes(self, idle_s):
        if self._http.trailing_data[0]:
            return True
        if self.closing:
            return False
        self._readable = self._loop.create_future()
        try:
            async with asyncio.timeout(idle_s):
                await self._readable
        except TimeoutError:
            return False
        finally:
            self._readable = None
        return not self.gone and bool(self._http.trailing_data[0])

    def wake_idle(self):
        """End the wait for a next request, as at a shutdown."""
        self.closing = True
        if not self.serving:
            self._wake(self._readable)

    async def read_body(self):
        """Return the whole body; raise `BadRequest` if too long or too slow."""
        limits = self._limits()
        if self._http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._transport.write(self._http.send(go_on))
        parts = []
        size = 0
        while True:
            try:
                event = await self._next_event(limits.head_s)
            except TimeoutError:
                raise BadRequest(408, "the body took too long")
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                raise CallerDisconnected
            size += len(event.data)
            if size > limits.max_body_bytes:
                raise BadRequest(413, "the body is too long")
            parts.append(bytes(event.data))

    # Answers

    def send_head(self, status, headers):
        """Send an answer's head; framing follows from `headers`."""
        if self.closing:
            headers = [*headers, (b"connection", b"close")]
        response = h11.Response(status_code=status, headers=headers, reason=b"")
        self._write(self._http.send(response))

    async def send_data(self, data):
        """Send a part of the body; wait while the caller reads too slowly."""
        self._write(self._http.send(h11.Data(data=data)))
        if self._drained is not None:
            await asyncio.shield(self._drained)
        if self.gone:
            raise CallerDisconnected

    def end(self):
        """End the answer; return whether the connection can be used again."""
        self._write(self._http.send(h11.EndOfMessage()))
        if (
            self._http.our_state is not h11.DONE
            or self._http.their_state is not h11.DONE
        ):
            return False
        if self.closing:
            return False
        self._http.start_next_cycle()
        return True

    def _write(self, data):
        if data and not self._transport.is_closing():
            self._transport.write(data)

    def send_whole(self, status, headers, body):
        """Send a whole answer; return whether the connection goes on."""
        self.send_head(status, [*headers, (b"content-length", b"%d" % len(body))])
        if body:
            self._write(self._http.send(h11.Data(data=body)))
        return self.end()

    @property
    def can_answer(self):
        """Whether no part of an answer has been sent yet."""
        return self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def refuse_unread(self, status):
        """Answer a request that could not be read, then end the connection."""
        self.closing = True
        if not self.can_answer or self._transport.is_closing():
            return
        try:
            self.send_head(status, [(b"content-length", b"0")])
            self._write(self._http.send(h11.EndOfMessage()))
        except h11.LocalProtocolError as exc:
            _log.info("an answer could not be sent", status=status, why=str(exc))

    def abort(self):
        """Break the connection so that a cut answer can't look whole."""
        self.closing = True
        self._transport.abort()

    def close(self):
        """Close after what was written has been sent."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.close()


def _head_bytes(request):
    """Return the size of a head; the parser bounds only one that is not whole."""
    line = len(request.method) + len(request.target) + len(" HTTP/1.1\r\n") + 1
    return line + sum(len(n) + len(v) + len(": \r\n") for n, v in request.headers)


def _check_framing(request):
    """Refuse heads whose framing two readers could take differently."""
    names = [name for name, _ in request.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise BadRequest(400, "two framings of one body")
    if names.count(b"host") != 1:
        raise BadRequest(400, "not one host")
