"""Links between entry hosts: CBOR messages over WebSocket, on the event loop."""

import asyncio
import enum
import functools
import logging
import math
from dataclasses import dataclass

from websockets.asyncio.client import connect
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import ConnectionClosed, InvalidStatus, WebSocketException

from lovagepier import formats
from lovagepier.frames import (
    FORMAT,
    MAX_FRAME_BYTES,
    CodecError,
    EncodeError,
    NotInFormat,
    decode,
    encode,
)
from lovagepier.logs import component_logger

__all__ = ["Dialed", "Link", "LinkCounts", "LinkServer", "dial"]

# A peer that leaves this many messages unread is disconnected.
MAX_OUTBOX_MESSAGES = 2000
CONNECT_TIMEOUT_S = 0.5
# A connection to the peers' listener has to state its formats within this time.
HANDSHAKE_TIMEOUT_S = 5.0

_log = component_logger("peers")
_QUIET_LOG = logging.getLogger("lovagepier.links")
_QUIET_LOG.setLevel(logging.CRITICAL)


class Dialed(enum.Enum):
    """The result of dialing a peer.

    UNREADABLE is a link that ended because one end could not read the other's frames,
    UNSUPPORTED one that was refused for lack of a common format.
    """

    FAILED = "failed"
    ENDED = "ended"
    UNREADABLE = "unreadable"
    UNSUPPORTED = "unsupported"


@dataclass(slots=True)
class LinkCounts:
    """What did not fit on all links of a host because of different formats.

    `skipped` frames had an unknown tag or further fields, `omitted` messages were not
    sent because the peer's format lacks them, `unreadable` links were closed for a
    malformed frame, `unsupported` ones for lack of a common format, `unencodable`
    messages were not sent because they can't be encoded or are too large.
    """

    skipped: int = 0
    omitted: int = 0
    unreadable: int = 0
    unsupported: int = 0
    unencodable: int = 0


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
    `format` is the format in which messages are sent, `build` the peer's build, empty
    if it is not stated. A peer that states no format has that of the newest frame that
    it sent.
    """

    __slots__ = (
        "_conn",
        "_outbox",
        "_sender",
        "_counts",
        "_has_frames",
        "_has_omitted",
        "_has_skipped",
        "_is_stated",
        "_unencodable",
        "boot",
        "build",
        "format",
        "last_frame_at",
        "in_use",
        "is_open",
        "is_unreadable",
        "peer",
        "roster",
        "store_answered_at",
    )

    def __init__(self, conn, peer_formats, counts):
        self._conn = conn
        self._counts = counts
        self._is_stated = peer_formats.is_stated
        self._has_frames = False
        self._has_omitted = False
        self._has_skipped = False
        self._unencodable = set()
        self.format = peer_formats.number
        self.build = peer_formats.build
        self.is_unreadable = False
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
    def is_mute(self):
        """Whether the peer has neither sent a frame nor stated its formats."""
        return not self._has_frames and not self._is_stated

    @property
    def backlog(self):
        """Number of messages that wait to be sent."""
        return self._outbox.qsize()

    def send(self, body):
        """Queue one message; return whether the link accepted it.

        A message that the peer's format lacks, or that can't be encoded, is left out.
        """
        if not self.is_open:
            return False
        try:
            data = encode(body, number=self.format)
            if len(data) > MAX_FRAME_BYTES:
                raise EncodeError(f"{len(data)} bytes, {MAX_FRAME_BYTES} fit")
            self._outbox.put_nowait(data)
        except NotInFormat as exc:
            self._omit(str(exc))
            return False
        except EncodeError as exc:
            self._fail_to_encode(type(body), str(exc))
            return False
        except asyncio.QueueFull:
            _log.warning("disconnected a peer that reads too slowly", peer=self.peer)
            self.close()
            return False
        return True

    def expect_format(self, number):
        """Take a peer that states no format for one of at least format `number`."""
        if number > self.format and not self._is_stated:
            self.format = min(number, FORMAT)

    def _omit(self, why):
        self._counts.omitted += 1
        if not self._has_omitted:
            self._has_omitted = True
            _log.info(
                "a peer of an older format gets less",
                peer=self.peer,
                build=self.build,
                format=self.format,
                why=why,
            )

    def _fail_to_encode(self, cls, why):
        self._counts.unencodable += 1
        if cls not in self._unencodable:
            self._unencodable.add(cls)
            _log.error(
                "could not encode a message",
                peer=self.peer,
                message=cls.__name__,
                why=why,
            )

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
                self._receive(on_message, decode(data))
        except CodecError as exc:
            self.is_unreadable = True
            self._counts.unreadable += 1
            _log.warning(
                "closed a link that sent a malformed frame",
                why=str(exc),
                peer=self.peer,
                build=self.build,
                format=self.format,
                own_formats=formats.OWN_FORMATS,
            )
        except (ConnectionClosed, WebSocketException, OSError) as exc:
            # The owner of the link chooses another coordinator.
            _log.info("a link ended", peer=self.peer, why=type(exc).__name__)
        finally:
            self._sender.cancel()
            self.close()

    def _receive(self, on_message, frame):
        self._has_frames = True
        self.expect_format(frame.since)
        if frame.message is None or frame.skipped:
            self._counts.skipped += 1
            if not self._has_skipped:
                self._has_skipped = True
                _log.info(
                    "passed over what a peer of a newer format sends",
                    peer=self.peer,
                    build=self.build,
                    message=type(frame.message).__name__,
                    fields=frame.skipped,
                )
        if frame.message is not None:
            self._handle(on_message, frame.message)

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


async def dial(address, on_open, on_message, on_close, counts):
    """Connect to a peer and run the link until it ends; return a `Dialed`."""
    host, port = address
    peer = f"{host}:{port}"
    try:
        conn = await connect(
            f"ws://{host}:{port}/",
            additional_headers=formats.own_headers(),
            open_timeout=CONNECT_TIMEOUT_S,
            close_timeout=CONNECT_TIMEOUT_S,
            ping_interval=None,
            compression=None,
            max_size=MAX_FRAME_BYTES,
            logger=_QUIET_LOG,
            proxy=None,
        )
    except InvalidStatus as exc:
        if exc.response.status_code != formats.UNSUPPORTED_STATUS:
            _log.debug("could not connect to a peer", peer=peer, why=str(exc))
            return Dialed.FAILED
        _log_formats(formats.read_headers(exc.response.headers), peer, counts, True)
        return Dialed.UNSUPPORTED
    except (OSError, TimeoutError, ValueError, WebSocketException) as exc:
        # The URI of an address that a host registered may be invalid.
        _log.debug("could not connect to a peer", peer=peer, why=str(exc))
        return Dialed.FAILED
    peer_formats = formats.read_headers(conn.response.headers)
    _log_formats(peer_formats, peer, counts)
    if peer_formats.number is None:
        conn.transport.abort()
        return Dialed.UNSUPPORTED
    link = Link(conn, peer_formats, counts)
    on_open(link)
    try:
        await link.run(on_message)
    finally:
        on_close(link)
    return Dialed.UNREADABLE if link.is_unreadable or link.is_mute else Dialed.ENDED


def _log_formats(peer_formats, peer, counts, is_refused=False):
    """Log a statement of formats that is wrong or leaves none in common."""
    if not peer_formats.fault and not is_refused:
        return
    is_unsupported = is_refused or peer_formats.number is None
    counts.unsupported += is_unsupported
    _log.warning(
        "a peer of an unsupported build" if is_unsupported else "formats of a peer",
        peer=peer,
        build=peer_formats.build,
        formats=peer_formats.text,
        own_formats=formats.OWN_FORMATS,
        why=peer_formats.fault or "it refused this build",
    )


class _PeerConnection(ServerConnection):
    """A connection to the peers' listener; `open_conns` are all that are open.

    If there are `max_conns`, it takes the place of the oldest one that has not stated
    its formats yet, and is closed if all have.
    """

    def __init__(self, *args, open_conns, max_conns, **kwargs):
        super().__init__(*args, **kwargs)
        self._open_conns = open_conns
        self._max_conns = max_conns

    def connection_made(self, transport):
        """Take a place."""
        super().connection_made(transport)
        if len(self._open_conns) >= self._max_conns:
            unstated = (conn for conn in self._open_conns if conn.request is None)
            victim = next(unstated, self)
            self._open_conns.pop(victim, None)
            victim.transport.abort()
            _log.info("closed a connection for want of a place", open=self._max_conns)
            if victim is self:
                return
        self._open_conns[self] = None

    def connection_lost(self, exc):
        """Leave the place to another connection."""
        self._open_conns.pop(self, None)
        super().connection_lost(exc)


class LinkServer:
    """Accepts links from other entry hosts, `max_conns` at a time."""

    __slots__ = ("_counts", "_max_conns", "_on_close", "_on_message", "_server")

    def __init__(self, on_message, on_close, counts, max_conns=math.inf):
        self._max_conns = max_conns
        self._on_message = on_message
        self._on_close = on_close
        self._counts = counts
        self._server = None

    async def start(self, address):
        """Listen on `address`; raise OSError if it is in use."""
        self._server = await serve(
            self._run,
            *address,
            process_request=self._check_formats,
            process_response=formats.add_headers,
            ping_interval=None,
            compression=None,
            max_size=MAX_FRAME_BYTES,
            logger=_QUIET_LOG,
            open_timeout=HANDSHAKE_TIMEOUT_S,
            create_connection=functools.partial(
                _PeerConnection, open_conns={}, max_conns=self._max_conns
            ),
        )

    def close(self):
        """Close all links and accept no more."""
        self._server.close()

    def _check_formats(self, conn, request):
        peer_formats = formats.read_headers(request.headers)
        peer = ":".join(map(str, conn.remote_address[:2]))
        _log_formats(peer_formats, peer, self._counts)
        if peer_formats.number is None:
            return formats.refusal(conn)
        return None

    async def _run(self, conn):
        peer_formats = formats.read_headers(conn.request.headers)
        link = Link(conn, peer_formats, self._counts)
        try:
            await link.run(self._on_message)
        finally:
            self._on_close(link)
