"""The links that this host opens: to its coordinator and to those next in line."""

import asyncio

from lovagepier.entry._cluster.links import Dialed, dial
from lovagepier.logs import component_logger

__all__ = ["STANDBY_HEARTBEAT_ROUNDS", "OutgoingLinks"]

# A link in use counts as down after this long without a frame.
LINK_TIMEOUT_S = 1.0
# A standby link carries one heartbeat in this many rounds.
STANDBY_HEARTBEAT_ROUNDS = 4
# A host without a common format is dialed again after this time, which doubles.
MISFIT_REDIAL_INTERVAL_S = 0.6
MAX_REDIAL_INTERVAL_S = 10.0

_log = component_logger("members")


class OutgoingLinks:
    """Open links by host name; dials each host at most once at a time.

    `on_message(link, message)` gets what peers send, `on_open(link)` each new
    link. `on_change()` is called when a link has ended. `counts` are the `LinkCounts`.
    """

    def __init__(self, on_message, on_open, on_change, counts):
        self._on_message = on_message
        self._on_open = on_open
        self._on_change = on_change
        self._counts = counts
        self._misfits = {}
        self._loop = asyncio.get_running_loop()
        self._dialing = {}
        self._redial_at = {}
        self._unreachable = set()
        self.links = {}

    def is_up(self, name):
        """Return whether a host has an open link that isn't silent."""
        link = self.links.get(name)
        if link is None or not link.is_open:
            return False
        return self._loop.time() - link.last_frame_at < _timeout(link)

    def is_known(self, name):
        """Return whether a host is up and has stated its incarnation."""
        return self.is_up(name) and self.links[name].boot is not None

    def is_unreachable(self, name):
        """Return whether the last attempt to connect to a host failed."""
        return name in self._unreachable

    def has_any_up(self):
        """Return whether any link is up."""
        return any(self.is_up(name) for name in self.links)

    def rename(self, link, name):
        """Register a link that was dialed as a seed under its host's name.

        Closing it to dial the host by name would cost a starting host another
        handshake with each seed.
        """
        if self.links.get(link.peer) is not link or name == link.peer:
            return
        del self.links[link.peer]
        link.peer = name
        if name in self.links:
            link.close()
        else:
            self.links[name] = link

    def use(self, name):
        """Mark the link to the coordinator as in use and all others as standby."""
        for each, link in self.links.items():
            link.in_use = each == name

    def dial(self, name, address, interval_s):
        """Dial a host unless it is linked or was dialed within `interval_s`."""
        now = self._loop.time()
        if name in self.links or name in self._dialing:
            return
        if now < self._redial_at.get(name, 0.0):
            return
        self._redial_at[name] = now + interval_s
        self._dialing[name] = self._loop.create_task(self._run_link(name, address))

    async def _run_link(self, name, address):
        def on_open(link):
            link.peer = name
            self.links[name] = link
            self._unreachable.discard(name)
            self._on_open(link)

        def on_close(link):
            if self.links.get(link.peer) is link:
                del self.links[link.peer]
            self._on_change()

        try:
            dialed = await dial(
                address, on_open, self._on_message, on_close, self._counts
            )
            self._note(name, address, dialed)
        finally:
            self._dialing.pop(name, None)

    def _note(self, name, address, dialed):
        """Log a failure to connect; dial a host that can't be talked to more rarely."""
        if dialed is Dialed.FAILED and name not in self._unreachable:
            self._unreachable.add(name)
            _log.warning("could not connect to a host", host=name, address=address)
        if dialed not in (Dialed.UNREADABLE, Dialed.UNSUPPORTED):
            self._misfits.pop(name, None)
            return
        count = self._misfits[name] = self._misfits.get(name, 0) + 1
        interval_s = min(
            MISFIT_REDIAL_INTERVAL_S * 2 ** (count - 1), MAX_REDIAL_INTERVAL_S
        )
        self._redial_at[name] = self._loop.time() + interval_s
        _log.warning(
            "could not talk to a host", host=name, why=dialed.value, redial_s=interval_s
        )

    def close_silent(self, incoming):
        """Close all links that timed out, including the `incoming` ones."""
        now = self._loop.time()
        for link in [*self.links.values(), *incoming]:
            if now - link.last_frame_at >= _timeout(link):
                _log.warning("closed a link that timed out", host=link.peer)
                link.close()


def _timeout(link):
    return LINK_TIMEOUT_S if link.in_use else LINK_TIMEOUT_S * STANDBY_HEARTBEAT_ROUNDS
