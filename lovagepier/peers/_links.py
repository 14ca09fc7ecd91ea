"""Websocket links to peers on one event loop in a thread of its own."""

import asyncio
import itertools
import ssl
import threading
from concurrent.futures import Future

from websockets.asyncio.client import connect
from websockets.asyncio.server import serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from lovagepier import keys
from lovagepier.logs import component_logger
from lovagepier.peers._codec import MAX_FRAME_BYTES, CodecError, decode, encode

__all__ = ["Links", "PeerUnreachable"]

MAX_OUTBOX = 4096
CONNECT_TIMEOUT_S = 1.0
IDLE_CLOSE_S = 120.0


class PeerUnreachable(Exception):
    """The message may not have arrived: no link, or a full outbox."""


class _Link:
    """One outbound connection with a bounded outbox."""

    __slots__ = ("address", "awaiting", "outbox", "task")

    def __init__(self, address):
        self.address = address
        self.outbox = asyncio.Queue(MAX_OUTBOX)
        self.awaiting = {}
        self.task = None


class Links:
    """Sends messages to peers by address and hands on what arrives.

    `on_message(message, reply)` runs on the loop's thread and must not
    block; `reply` takes the answer from any thread. `bytes_sent` and
    `bytes_received` count payload bytes.
    """

    def __init__(self, cfg, on_message):
        self._cfg = cfg
        self._on_message = on_message
        self._links = {}
        self._futures = {}
        self._correlations = itertools.count(1)
        self._loop = asyncio.new_event_loop()
        self._server = None
        self._log = component_logger("peers")
        self.bytes_sent = 0
        self.bytes_received = 0
        self.messages_sent = 0
        self.port = None

    def start(self):
        """Listen and run the loop; raise OSError if the address is in use."""
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
            logger=_silent(),
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
            self._log.warning("refused a foreign peer")
            return connection.respond(401, "unknown peer key\n")
        return None

    async def _serve_peer(self, connection):
        try:
            async for data in connection:
                self.bytes_received += len(data)
                self._take(data, connection)
        except CodecError as exc:
            self._log.warning("closed a link that sent a malformed frame", why=str(exc))
            await connection.close(1003, "malformed frame")
        except ConnectionClosed:
            pass

    def _take(self, data, connection):
        frame = decode(data)
        if frame.is_reply:
            self._settle(frame)
            return

        def reply(body):
            if frame.correlation:
                answer = encode(body, frame.correlation, True)
                self._loop.call_soon_threadsafe(self._send_back, connection, answer)

        self._on_message(frame.message, reply)

    def _send_back(self, connection, data):
        self.bytes_sent += len(data)
        self.messages_sent += 1
        self._loop.create_task(_send_quietly(connection, data))

    def _settle(self, frame):
        sink = self._futures.get(frame.correlation)
        if sink is not None and sink(frame.message):
            self._futures.pop(frame.correlation, None)

    # Sending, from any thread

    def tell(self, address, body):
        """Send a message without an answer; it may get lost."""
        self._post(address, encode(body), 0, None)

    def ask(self, address, body):
        """Send a message; return a Future of the first answer."""
        fut = Future()

        def sink(answer):
            if fut.set_running_or_notify_cancel():
                fut.set_result(answer)
            return True

        self.converse(address, body, sink, fut.set_exception)
        return fut

    def converse(self, address, body, sink, on_lost):
        """Send a message that may get several answers.

        `sink(answer)` returns True after the last one; `on_lost(exc)` is
        called if the message could not be sent. Returns the correlation,
        to be given to `forget`.
        """
        correlation = next(self._correlations)
        self._futures[correlation] = sink

        def lost(exc):
            if self._futures.pop(correlation, None) is not None:
                on_lost(exc)

        self._post(address, encode(body, correlation), correlation, lost)
        return correlation

    def forget(self, correlation):
        """Stop waiting for answers of a correlation."""
        self._futures.pop(correlation, None)

    def _post(self, address, data, correlation, lost):
        self._loop.call_soon_threadsafe(
            self._enqueue, tuple(address), data, correlation, lost
        )

    def _enqueue(self, address, data, correlation, lost):
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = _Link(address)
            link.task = self._loop.create_task(self._run_link(link))
        try:
            link.outbox.put_nowait(data)
        except asyncio.QueueFull:
            if lost is not None:
                lost(PeerUnreachable("the outbox is full"))
            return
        if lost is not None:
            self._await_answer(link, correlation, lost)

    def _await_answer(self, link, correlation, lost):
        link.awaiting[correlation] = lost
        if len(link.awaiting) > MAX_OUTBOX:
            link.awaiting = {
                key: value
                for key, value in link.awaiting.items()
                if key in self._futures
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
                logger=_silent(),
            ) as connection:
                await self._pump(link, connection)
        except (OSError, WebSocketException, TimeoutError, EOFError) as exc:
            self._log.debug("lost a link", address=f"{host}:{port}", why=str(exc))
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
        # What was asked over this link may have arrived; no answer can.
        self._links.pop(link.address, None)
        for lost in list(link.awaiting.values()):
            lost(PeerUnreachable("the link broke"))

    def stop(self):
        """Close the listening socket and end the loop."""
        self._loop.call_soon_threadsafe(self._loop.stop)


async def _send_quietly(connection, data):
    try:
        await connection.send(data)
    except (ConnectionClosed, OSError):
        return


def _silent():
    import logging

    logger = logging.getLogger("lovagepier.websockets")
    logger.setLevel(logging.CRITICAL)
    return logger
