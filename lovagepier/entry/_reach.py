"""The links that this host dials: to the home and to those that may be it next."""

import asyncio

from lovagepier.entry._links import dial
from lovagepier.logs import component_logger

__all__ = ["RESERVE_BEATS", "Reach"]

# A home or entry host that was silent this long is passed over.
SILENT_S = 1.0
# A link that is kept in reserve beats once in so many times.
RESERVE_BEATS = 4

_log = component_logger("members")


class Reach:
    """Open links by host name, one dial at a time for each.

    `on_message(link, message)` gets what peers send, `on_open(link)` each new
    link and `on_change()` is called when one has ended.
    """

    def __init__(self, on_message, on_open, on_change):
        self._on_message = on_message
        self._on_open = on_open
        self._on_change = on_change
        self._loop = asyncio.get_running_loop()
        self._dialing = {}
        self._redial_at = {}
        self._unreached = set()
        self.links = {}

    def is_up(self, name):
        """Return whether a host is linked and was heard lately."""
        link = self.links.get(name)
        if link is None or not link.is_open:
            return False
        return self._loop.time() - link.heard_at < _patience(link)

    def use(self, name):
        """Mark the link to the home in use; the others are in reserve."""
        for each, link in self.links.items():
            link.in_use = each == name

    def dial(self, name, address, pause_s):
        """Dial a host unless it is linked or was dialed within `pause_s`."""
        now = self._loop.time()
        if name in self.links or name in self._dialing:
            return
        if now < self._redial_at.get(name, 0.0):
            return
        self._redial_at[name] = now + pause_s
        self._dialing[name] = self._loop.create_task(self._keep(name, address))

    async def _keep(self, name, address):
        def on_open(link):
            link.peer = name
            self.links[name] = link
            self._unreached.discard(name)
            self._on_open(link)

        def on_close(link):
            if self.links.get(name) is link:
                del self.links[name]
            self._on_change()

        try:
            opened = await dial(address, on_open, self._on_message, on_close)
            if not opened and name not in self._unreached:
                self._unreached.add(name)
                _log.warning("could not reach a host", host=name, address=address)
        finally:
            self._dialing.pop(name, None)

    def cut_silent(self, served):
        """Close links that fell silent, those of the hosts `served` here too."""
        now = self._loop.time()
        for link in [*self.links.values(), *served]:
            if now - link.heard_at >= _patience(link):
                _log.warning("a link fell silent", host=link.peer)
                link.close()


def _patience(link):
    return SILENT_S if link.in_use else SILENT_S * RESERVE_BEATS
