"""WebSocket links to peers; one event loop in its own thread serves them all."""

import asyncio
import itertools
import ssl
import threading
from concurrent.futures import Future

from websockets.asyncio.client import connect
from websockets.asyncio.server import serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from lovagepier import keys
from lovagepier.frames import MAX_FRAME_BYTES, CodecError, decode, encode
from lovagepier.logs import component_logger

__all__ = ["Links", "PeerUnreachable"]

MAX_OUTBOX_MESSAGES = 4096
CONNECT_TIMEOUT_S = 1.0
IDLE_CLOSE_S = 120.0


class PeerUnreachable(Exception):
    """The outbox is full, or the link broke and the message may have arrived."""


class _Link:
    """One outbound connection with a bounded outbox.

    `pending` maps the correlations of unanswered messages to the functions to
    call if the link breaks.
    """

    __slots__ = ("address", "outbox", "pending", "task")

    def __init__(self, address):
        self.address = address
        self.outbox = asyncio.Queue(MAX_OUTBOX_MESSAGES)
        self.pending = {}
        self.task = None


class Links:
    """Sends messages to peers by address and dispatches received messages.

    `on_message(message, reply)` runs on the event loop's thread and must not
    block; `reply(answer)` may be called from any thread. `bytes_sent` and
    `bytes_received` count payload bytes.
    """

    def __init__(self, cfg, on_message):
        self._cfg = cfg
        self._on_message = on_message
        self._links = {}
        self._reply_handlers = {}
        self._correlations = itertools.count(1)
        self._loop = asyncio.new_event_loop()
        self._server = None
        self._log = component_logger("peers")
        self.bytes_sent = 0
        self.bytes_received = 0
        self.messages_sent = 0
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

    async def _listen(self):
        host, port = self._cfg.peers_listen
        self._server = await serve(
            self._serve_peer,
            host,
            port,
            process_request=self._check_key,
            max_size=MAX_FRAME_BYTES,
            compression=None,
            ssl=self._server_tls(),
            logger=_silent_logger(),
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def _server_tls(self):
        if not self._cfg.peers_certificate:
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.load_cert_chain(
            self._cfg.peers_certificate, self._cfg.peers_private_key
        )
        return context

    def _client_tls(self):
        if not self._cfg.peers_certificate:
            return None
        context = ssl.create_default_context(cafile=self._cfg.peers_certificate)
        context.check_hostname = False
        return context

    def _check_key(self, connection, request):
        token = keys.bearer_token(request.headers.get("Authorization"))
        hashes = [keys.digest(self._cfg.peers_key), *self._cfg.peers_accept_key_hashes]
        if not keys.matches_any(token, hashes):
            self._log.warning("refused a peer with an unknown key")
            return connection.respond(401, "unknown peer key\n")
        return None

    async def _serve_peer(self, connection):
        try:
            async for data in connection:
                self.bytes_received += len(data)
                self._handle_frame(data, connection)
        except CodecError as exc:
            self._log.warning("closed a link that sent a malformed frame", why=str(exc))
            await connection.close(1003, "malformed frame")
        except ConnectionClosed:
            pass

    def _handle_frame(self, data, connection):
        frame = decode(data)
        if frame.is_reply:
            self._deliver_reply(frame)
            return

        def reply(body):
            if frame.correlation:
                answer = encode(body, frame.correlation, True)
                self._loop.call_soon_threadsafe(self._send_reply, connection, answer)

        self._on_message(frame.message, reply)

    def _send_reply(self, connection, data):
        self.bytes_sent += len(data)
        self.messages_sent += 1
        self._loop.create_task(_send_quietly(connection, data))

    def _deliver_reply(self, frame):
        on_answer = self._reply_handlers.get(frame.correlation)
        if on_answer is not None and on_answer(frame.message):
            self._reply_handlers.pop(frame.correlation, None)

    # Sending, from any thread

    def tell(self, address, body):
        """Send a message that gets no answer, without delivery guarantee."""
        self._post(address, encode(body), 0, None)

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

        `on_answer(answer)` returns True after the last one. `on_error(exc)` is
        called if the outbox is full or the link breaks before that. Returns the
        correlation, which `forget` takes.
        """
        correlation = next(self._correlations)
        self._reply_handlers[correlation] = on_answer

        def fail(exc):
            if self._reply_handlers.pop(correlation, None) is not None:
                on_error(exc)

        self._post(address, encode(body, correlation), correlation, fail)
        return correlation

    def forget(self, correlation):
        """Ignore further answers to the message with this correlation."""
        self._reply_handlers.pop(correlation, None)

    def _post(self, address, data, correlation, on_error):
        self._loop.call_soon_threadsafe(
            self._enqueue, tuple(address), data, correlation, on_error
        )

    def _enqueue(self, address, data, correlation, on_error):
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = _Link(address)
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

    async def _run_link(self, link):
        scheme = "wss" if self._cfg.peers_certificate else "ws"
        host, port = link.address
        try:
            async with connect(
                f"{scheme}://{host}:{port}/",
                additional_headers={"Authorization": f"Bearer {self._cfg.peers_key}"},
                open_timeout=CONNECT_TIMEOUT_S,
                close_timeout=CONNECT_TIMEOUT_S,
                max_size=MAX_FRAME_BYTES,
                compression=None,
                proxy=None,
                ssl=self._client_tls(),
                logger=_silent_logger(),
            ) as connection:
                await self._pump(link, connection)
        except (OSError, WebSocketException, TimeoutError, EOFError) as exc:
            self._log.debug(
                "link to a peer lost", address=f"{host}:{port}", why=str(exc)
            )
        finally:
            self._drop(link)

    async def _pump(self, link, connection):
        reader = self._loop.create_task(self._serve_peer(connection))
        try:
            while True:
                getter = self._loop.create_task(link.outbox.get())
                await asyncio.wait(
                    {getter, reader}, return_when=asyncio.FIRST_COMPLETED
                )
                if not getter.done():
                    getter.cancel()
                    return
                data = getter.result()
                await connection.send(data)
                self.bytes_sent += len(data)
                self.messages_sent += 1
        finally:
            reader.cancel()

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


def _silent_logger():
    import logging

    logger = logging.getLogger("lovagepier.websockets")
    logger.setLevel(logging.CRITICAL)
    return logger
