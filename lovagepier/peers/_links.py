"""WebSocket links to peers; one event loop in its own thread serves them all."""

import asyncio
import contextlib
import itertools
import threading
from concurrent.futures import Future
from functools import partial

from websockets.asyncio.server import serve
from websockets.exceptions import ConnectionClosed

from lovagepier import formats
from lovagepier.frames import (
    MAX_FRAME_BYTES,
    CodecError,
    EncodeError,
    NotInFormat,
    decode,
    encode,
)
from lovagepier.logs import component_logger
from lovagepier.peers._handshake import LIBRARY_LOG, check_peer, server_tls
from lovagepier.peers._outgoing import (
    CONNECT_TIMEOUT_S,
    MAX_OUTBOX_MESSAGES,
    OutgoingLink,
    PeerUnreachable,
)

__all__ = ["Links", "PeerUnreachable"]

# A peer without a common format is not dialed again for this long.
MISFIT_REDIAL_INTERVAL_S = 10.0


class Links:
    """Sends messages to peers by address and dispatches received messages.

    `on_message(message, reply)` runs on the event loop's thread and must not
    block; `reply(answer)` may be called from any thread. `bytes_sent` and
    `bytes_received` count payload bytes. `frames_skipped` had an unknown tag or further
    fields, `messages_omitted` were not sent because the peer's format lacks them.
    """

    def __init__(self, cfg, on_message):
        self._cfg = cfg
        self._on_message = on_message
        self._links = {}
        self._reply_handlers = {}
        self._correlations = itertools.count(1)
        self._loop = asyncio.new_event_loop()
        self._server = None
        self._misfits_until = {}
        self._log = component_logger("peers")
        self.bytes_sent = 0
        self.bytes_received = 0
        self.messages_sent = 0
        self.frames_skipped = 0
        self.messages_omitted = 0
        self.port = None

    def start(self):
        """Listen and run the event loop; raise OSError if the address is in use."""
        ready = Future()
        thread = threading.Thread(target=self._run, args=(ready,), name="peers")
        thread.daemon = True
        thread.start()
        ready.result(10)

    def _run(self, ready):
        asyncio.set_event_loop(self._loop)
        try:
            self._loop.run_until_complete(self._listen())
        except OSError as exc:
            ready.set_exception(exc)
            return
        ready.set_result(None)
        self._loop.run_forever()
        self._loop.run_until_complete(self._end_tasks())

    async def _end_tasks(self):
        """Close the listener and its connections, then end the links to other nodes."""
        self._server.close()
        # A suspended peer does not answer the closing handshake.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._server.wait_closed()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _listen(self):
        host, port = self._cfg.peers_listen
        self._server = await serve(
            self.serve_peer,
            host,
            port,
            process_request=partial(check_peer, self._cfg),
            process_response=formats.add_headers,
            max_size=MAX_FRAME_BYTES,
            compression=None,
            ssl=server_tls(self._cfg),
            logger=LIBRARY_LOG,
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def serve_peer(self, connection, peer_formats=None):
        """Dispatch what a peer sends over a connection until it ends."""
        if peer_formats is None:
            peer_formats = formats.read_headers(connection.request.headers)
        has_skipped = False
        try:
            async for data in connection:
                self.bytes_received += len(data)
                frame = decode(data)
                if frame.message is None or frame.skipped:
                    self.frames_skipped += 1
                    if not has_skipped:
                        has_skipped = True
                        self._log_skipped(peer_formats, frame)
                if frame.message is not None:
                    self._handle_frame(frame, connection, peer_formats.number)
        except CodecError as exc:
            self._log.warning("closed a link that sent a malformed frame", why=str(exc))
            await connection.close(1003, "malformed frame")
        except ConnectionClosed:
            pass

    def _log_skipped(self, peer_formats, frame):
        self._log.info(
            "passed over what a peer of a newer format sends",
            build=peer_formats.build,
            message=type(frame.message).__name__,
            fields=frame.skipped,
        )

    def _handle_frame(self, frame, connection, number):
        if frame.is_reply:
            self._deliver_reply(frame)
            return

        def reply(body):
            if not frame.correlation:
                return
            try:
                answer = encode(body, frame.correlation, True, number)
            except NotInFormat as exc:
                self.omit(number, exc)
                return
            except EncodeError as exc:
                self._log.error("could not encode an answer", why=str(exc))
                return
            self._loop.call_soon_threadsafe(self._send_reply, connection, answer)

        self._on_message(frame.message, reply)

    def omit(self, number, exc):
        """Count and log a message that a peer's format lacks."""
        self.messages_omitted += 1
        self._log.info(
            "a peer of an older format gets less", format=number, why=str(exc)
        )

    def count_sent(self, data):
        """Count a frame that is sent."""
        self.bytes_sent += len(data)
        self.messages_sent += 1

    def _send_reply(self, connection, data):
        self.count_sent(data)
        self._loop.create_task(_send_quietly(connection, data))

    def _deliver_reply(self, frame):
        on_answer = self._reply_handlers.get(frame.correlation)
        if on_answer is not None and on_answer(frame.message):
            self._reply_handlers.pop(frame.correlation, None)

    # Sending, from any thread

    def tell(self, address, body):
        """Send a message that gets no answer, without delivery guarantee."""
        self._post(address, body, 0, None)

    def ask(self, address, body):
        """Send a message; return a Future of its answer or `PeerUnreachable`.

        The future has no timeout of its own.
        """
        fut = Future()

        def on_answer(answer):
            if fut.set_running_or_notify_cancel():
                fut.set_result(answer)
            return True

        self.ask_many(address, body, on_answer, fut.set_exception)
        return fut

    def ask_many(self, address, body, on_answer, on_error):
        """Send a message that may get several answers.

        `on_answer(answer)` returns True after the last one. `on_error(exc)` is called
        before that if the outbox is full, the link breaks or the message can't be
        encoded for the peer. Returns the correlation, which `forget` takes.
        """
        correlation = next(self._correlations)
        self._reply_handlers[correlation] = on_answer

        def fail(exc):
            if self._reply_handlers.pop(correlation, None) is not None:
                on_error(exc)

        self._post(address, body, correlation, fail)
        return correlation

    def forget(self, correlation):
        """Ignore further answers to the message with this correlation."""
        self._reply_handlers.pop(correlation, None)

    def _post(self, address, body, correlation, on_error):
        try:
            data = encode(body, correlation)
        except EncodeError as exc:
            self._log.error("could not encode a message", why=str(exc))
            if on_error is not None:
                on_error(PeerUnreachable(str(exc)))
            return
        self._loop.call_soon_threadsafe(
            self._enqueue, tuple(address), data, correlation, on_error
        )

    def _enqueue(self, address, data, correlation, on_error):
        if self._loop.time() < self._misfits_until.get(address, 0.0):
            if on_error is not None:
                on_error(PeerUnreachable("no common format"))
            return
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = OutgoingLink(address, self._cfg, self)
            link.task = self._loop.create_task(self._run_link(link))
        try:
            link.outbox.put_nowait(data)
        except asyncio.QueueFull:
            if on_error is not None:
                on_error(PeerUnreachable("the outbox is full"))
            return
        if on_error is not None:
            self._track_reply(link, correlation, on_error)

    def _track_reply(self, link, correlation, on_error):
        # Entries of answered messages stay in `pending` until they are purged here.
        link.pending[correlation] = on_error
        if len(link.pending) > MAX_OUTBOX_MESSAGES:
            link.pending = {
                key: value
                for key, value in link.pending.items()
                if key in self._reply_handlers
            }

    def put_off(self, address):
        """Leave a peer without a common format alone for a while."""
        self._misfits_until[address] = self._loop.time() + MISFIT_REDIAL_INTERVAL_S

    async def _run_link(self, link):
        try:
            await link.run()
        finally:
            self._drop(link)

    def _drop(self, link):
        # The messages sent over this link may have arrived, but their answers
        # would have come back over it.
        self._links.pop(link.address, None)
        for on_error in list(link.pending.values()):
            on_error(PeerUnreachable("the link broke"))

    def stop(self):
        """Stop the event loop; the daemon thread ends with it."""
        self._loop.call_soon_threadsafe(self._loop.stop)


async def _send_quietly(connection, data):
    try:
        await connection.send(data)
    except (ConnectionClosed, OSError):
        return
