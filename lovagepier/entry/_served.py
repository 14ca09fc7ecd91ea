"""The entry hosts that this host's home serves: their links, beats and rosters."""

import asyncio

from lovagepier.entry._messages import Roster
from lovagepier.logs import component_logger

__all__ = ["Served"]

_log = component_logger("members")


class Served:
    """Who asks here, who keeps a link in reserve, and what they have been told.

    `links` are open links by host name. `leaving` is set once this host is
    to stop.
    """

    def __init__(self, cfg, view, home):
        self._cfg = cfg
        self._view = view
        self._home = home
        self._loop = asyncio.get_running_loop()
        self._beats = {}
        self._told_hosts = {}
        self._roster_due = False
        self.links = {}
        self.leaving = False

    @property
    def own_address(self):
        """The HOST:PORT that callers of this host connect to."""
        host, port = self._cfg.callers_listen
        return f"{host}:{port}"

    def on_beat(self, link, beat):
        """Take a beat in; return whether another number of hosts asks now."""
        if not link.peer:
            self._adopt(link, beat.name)
        link.in_use = beat.asks
        known = self._beats.get(beat.name)
        self._beats[beat.name] = beat
        if known is None or known.leaving != beat.leaving:
            self._roster_due = True
        if known is not None and known.asks and not beat.asks:
            self._home.on_entry_lost(beat.name, self._loop.time())
        return known is None or known.asks != beat.asks

    def _adopt(self, link, name):
        link.peer = name
        old = self.links.get(name)
        self.links[name] = link
        if old is not None and old is not link:
            old.close()

    def on_closed(self, link):
        """Forget an entry host whose link ended."""
        if not link.peer or self.links.get(link.peer) is not link:
            return
        del self.links[link.peer]
        self._told_hosts.pop(link.peer, None)
        self._beats.pop(link.peer, None)
        self._home.on_entry_lost(link.peer, self._loop.time())
        _log.info("an entry host's link ended", host=link.peer)
        self._roster_due = True

    def asking(self):
        """Return how many other hosts ask this home now."""
        return sum(beat.asks for beat in self._beats.values())

    def rows(self):
        """Return [name, callers' address, zone, leaving] rows, this host first."""
        cfg = self._cfg
        rows = [[cfg.host_name, self.own_address, cfg.host_zone, self.leaving]]
        rows += [[b.name, b.callers, b.zone, b.leaving] for b in self._beats.values()]
        return rows

    def roster(self, link):
        """Return the `Roster` for a link; its hosts only where they changed."""
        now = self._loop.time()
        hosts = self.rows()
        if self._told_hosts.get(link.peer) == (link, hosts):
            told = None
        else:
            told = hosts
            self._told_hosts[link.peer] = (link, hosts)
        return Roster(
            self._cfg.host_name,
            told,
            self._view.version,
            self._view.as_of,
            self._view.store_age(now),
            self._home.strikes.condemned(),
            self._home.moves.brakes(),
            self._home.quotas.low_levels(now),
            self._home.moves.progress(),
        )

    def tell_leaving(self):
        """Tell all entry hosts now that this host is leaving."""
        self.leaving = True
        self._roster_due = True
        self.push_rosters()

    def push_rosters(self):
        """Tell all entry hosts at once that hosts came, went or are leaving."""
        if not self._roster_due:
            return
        self._roster_due = False
        for link in self.links.values():
            link.send(self.roster(link))
