"""Links between entry hosts: CBOR messages over WebSocket, on the event loop."""

import asyncio
import logging

from websockets.asyncio.client import connect
from websockets.asyncio.server import serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from lovagepier.frames import MAX_FRAME_BYTES, CodecError, decode, encode
from lovagepier.logs import component_logger

__all__ = ["Link", "LinkServer", "dial"]

# A peer that leaves this many messages unread is disconnected.
MAX_OUTBOX_MESSAGES = 2000
CONNECT_TIMEOUT_S = 0.5

_log = component_logger("peers")
_QUIET_LOG = logging.getLogger("lovagepier.links")
_QUIET_LOG.setLevel(logging.CRITICAL)


class Link:
    """One open connection to a peer.

    `send` never waits; a peer that lets the outbox fill is disconnected. `peer` is the
    peer's host name, or its HOST:PORT if it was dialed as a seed; it is empty until
    the first heartbeat on an accepted link.
    `last_frame_at` is the loop time of the last frame from the peer, in seconds.
    `roster` are the hosts that the peer last sent, `boot` the incarnation that it
    last stated, None before its first roster. `store_answered_at` is the loop time at
    which the store last answered the peer, by its last heartbeat or roster. `in_use`
    tells whether one end is the coordinator of the other; other links are on standby.
    """

    __slots__ = (
        "_conn",
        "_outbox",
        "_sender",
        "boot",
        "last_frame_at",
        "in_use",
        "is_open",
        "peer",
        "roster",
        "store_answered_at",
    )

    def __init__(self, conn):
        self._conn = conn
        self._outbox = asyncio.Queue(MAX_OUTBOX_MESSAGES)
        self._sender = None
        self.last_frame_at = asyncio.get_running_loop().time()
        self.is_open = True
        self.peer = ""
        self.roster = []
        self.boot = None
        self.store_answered_at = float("-inf")
        self.in_use = False

    @property
    def backlog(self):
        """Number of messages that wait to be sent."""
        return self._outbox.qsize()

    def send(self, body):
        """Queue one message; return whether the link accepted it."""
        if not self.is_open:
            return False
        try:
            self._outbox.put_nowait(encode(body))
        except asyncio.QueueFull:
            _log.warning("disconnected a peer that reads too slowly", peer=self.peer)
            self.close()
            return False
        return True

    def close(self):
        """Abort the connection without waiting for queued messages."""
        self.is_open = False
        transport = self._conn.transport
        if transport is not None:
            transport.abort()

    async def run(self, on_message):
        """Pass received messages to `on_message` until the connection ends."""
        loop = asyncio.get_running_loop()
        self._sender = loop.create_task(self._send_all())
        try:
            async for data in self._conn:
                self.last_frame_at = loop.time()
                self._handle(on_message, decode(data).message)
        except CodecError as exc:
            _log.warning("closed a link that sent a malformed frame", why=str(exc))
        except (ConnectionClosed, WebSocketException, OSError) as exc:
            # The owner of the link chooses another coordinator.
            _log.info("a link ended", peer=self.peer, why=type(exc).__name__)
        finally:
            self._sender.cancel()
            self.close()

    def _handle(self, on_message, message):
        try:
            on_message(self, message)
        except Exception as exc:  # noqa: BLE001  a message must not end the host's links
            _log.error(
                "could not handle a message",
                peer=self.peer,
                message=type(message).__name__,
                exc_info=exc,
            )

    async def _send_all(self):
        try:
            while True:
                await self._conn.send(await self._outbox.get())
        except (ConnectionClosed, WebSocketException, OSError):
            # Closing makes `run` end, which logs the cause.
            self.close()


async def dial(address, on_open, on_message, on_close):
    """Connect to a peer and run the link; return whether it was opened."""
    host, port = address
    try:
        conn = await connect(
            f"ws://{host}:{port}/",
            open_timeout=CONNECT_TIMEOUT_S,
            close_timeout=CONNECT_TIMEOUT_S,
            ping_interval=None,
            compression=None,
            max_size=MAX_FRAME_BYTES,
            logger=_QUIET_LOG,
            proxy=None,
        )
    except (OSError, TimeoutError, WebSocketException) as exc:
        _log.debug("could not connect to a peer", peer=f"{host}:{port}", why=str(exc))
        return False
    link = Link(conn)
    on_open(link)
    try:
        await link.run(on_message)
    finally:
        on_close(link)
    return True


class LinkServer:
    """Accepts links from other entry hosts."""

    __slots__ = ("_on_close", "_on_message", "_server")

    def __init__(self, on_message, on_close):
        self._on_message = on_message
        self._on_close = on_close
        self._server = None

    async def start(self, address):
        """Listen on `address`; raise OSError if it is in use."""
        self._server = await serve(
            self._run,
            *address,
            ping_interval=None,
            compression=None,
            max_size=MAX_FRAME_BYTES,
            logger=_QUIET_LOG,
        )

    async def _run(self, conn):
        link = Link(conn)
        try:
            await link.run(self._on_message)
        finally:
            self._on_close(link)
