"""One outbound link to a peer."""

import asyncio

from websockets.asyncio.client import connect
from websockets.exceptions import InvalidStatus, WebSocketException

from lovagepier import formats
from lovagepier.frames import FORMAT, MAX_FRAME_BYTES, NotInFormat, decode, encode
from lovagepier.logs import component_logger
from lovagepier.peers._handshake import LIBRARY_LOG, client_tls, log_formats

__all__ = [
    "CONNECT_TIMEOUT_S",
    "MAX_OUTBOX_MESSAGES",
    "OutgoingLink",
    "PeerUnreachable",
]

MAX_OUTBOX_MESSAGES = 4096
CONNECT_TIMEOUT_S = 1.0

_log = component_logger("peers")


class PeerUnreachable(Exception):
    """The message was not sent, or the link broke and it may have arrived."""


class OutgoingLink:
    """One outbound connection with a bounded outbox; `links` are the `Links` it is of.

    `pending` maps the correlations of unanswered messages to the functions to
    call if the link breaks.
    """

    __slots__ = ("_cfg", "_links", "address", "outbox", "pending", "task")

    def __init__(self, address, cfg, links):
        self._cfg = cfg
        self._links = links
        self.address = address
        self.outbox = asyncio.Queue(MAX_OUTBOX_MESSAGES)
        self.pending = {}
        self.task = None

    async def run(self):
        """Connect and send the outbox until the link breaks."""
        scheme = "wss" if self._cfg.peers_certificate else "ws"
        host, port = self.address
        try:
            async with connect(
                f"{scheme}://{host}:{port}/",
                additional_headers={
                    "Authorization": f"Bearer {self._cfg.peers_key}",
                    **formats.own_headers(),
                },
                open_timeout=CONNECT_TIMEOUT_S,
                close_timeout=CONNECT_TIMEOUT_S,
                max_size=MAX_FRAME_BYTES,
                compression=None,
                proxy=None,
                ssl=client_tls(self._cfg),
                logger=LIBRARY_LOG,
            ) as connection:
                peer_formats = formats.read_headers(connection.response.headers)
                log_formats(peer_formats, self.address)
                if peer_formats.number is None:
                    self._links.put_off(self.address)
                else:
                    await self._pump(connection, peer_formats)
        except InvalidStatus as exc:
            if exc.response.status_code == formats.UNSUPPORTED_STATUS:
                self._links.put_off(self.address)
                stated = formats.read_headers(exc.response.headers)
                stated.fault = stated.fault or "it refused this build"
                log_formats(stated, self.address)
            else:
                self._log_lost(exc)
        except (OSError, WebSocketException, EOFError, ValueError) as exc:
            self._log_lost(exc)

    def _log_lost(self, exc):
        host, port = self.address
        _log.debug("link to a peer lost", address=f"{host}:{port}", why=str(exc))

    async def _pump(self, connection, peer_formats):
        loop = asyncio.get_running_loop()
        reader = loop.create_task(self._links.serve_peer(connection, peer_formats))
        try:
            while True:
                getter = loop.create_task(self.outbox.get())
                await asyncio.wait(
                    {getter, reader}, return_when=asyncio.FIRST_COMPLETED
                )
                if not getter.done():
                    getter.cancel()
                    return
                data = getter.result()
                if peer_formats.number < FORMAT:
                    data = self._in_older_format(data, peer_formats.number)
                    if data is None:
                        continue
                await connection.send(data)
                self._links.count_sent(data)
        finally:
            reader.cancel()

    def _in_older_format(self, data, number):
        """Return a frame as an older format has it, None if that lacks the message."""
        frame = decode(data)
        try:
            return encode(frame.message, frame.correlation, number=number)
        except NotInFormat as exc:
            self._links.omit(number, exc)
            on_error = self.pending.pop(frame.correlation, None)
            if on_error is not None:
                on_error(PeerUnreachable(str(exc)))
            return None
